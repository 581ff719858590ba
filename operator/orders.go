package operator

import (
	"context"

	"storj.io/drpc"

	"waxwingtide.example/waxwingtide/wire"
)

// AgentOrders sends orders over the inner protocol.
type AgentOrders struct {
	// Dial returns a connection to an agent, as entry.Options.Dial does.
	Dial func(ctx context.Context, address string) drpc.Conn
}

var _ Orders = AgentOrders{}

// Order implements Orders.
func (a AgentOrders) Order(ctx context.Context, address string, req *wire.OrderRequest) (*wire.OrderReply, error) {
	return wire.NewDRPCAgentClient(a.Dial(ctx, address)).Order(ctx, req)
}

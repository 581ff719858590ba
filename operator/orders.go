package operator

import (
	"context"

	"storj.io/drpc"

	"waxwingtide.example/waxwingtide/wire"
)

// AgentOrderSender sends orders over the inner protocol.
type AgentOrderSender struct {
	// Dial returns a connection to an agent, as entry.Options.Dial does.
	Dial func(ctx context.Context, address string) drpc.Conn
}

var _ OrderSender = AgentOrderSender{}

// SendOrder implements OrderSender.
func (a AgentOrderSender) SendOrder(ctx context.Context, address string, req *wire.OrderRequest) (*wire.OrderReply, error) {
	return wire.NewDRPCAgentClient(a.Dial(ctx, address)).Order(ctx, req)
}

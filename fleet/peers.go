package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	// pullInterval is the time between two questions to peers while the store
	// does not serve this process.
	pullInterval = 300 * time.Millisecond
	pullTimeout  = 600 * time.Millisecond
	// pullPeers is how many peers are asked at once.
	pullPeers = 2
)

// runPeers asks peers for rows while the store does not serve this process.
func (f *Fleet) runPeers(ctx context.Context) error {
	away := false
	for {
		if !away {
			next, err := f.away.Receive(ctx)
			if err != nil {
				return nil
			}
			away = next
			continue
		}
		f.pullOnce(ctx)
		if !duty.Pause(ctx, pullInterval) {
			return nil
		}
		if next, ok := f.away.TryReceive(); ok {
			away = next
		}
	}
}

func (f *Fleet) pullOnce(ctx context.Context) {
	request := f.question(ctx)
	addresses := f.peerAddresses()
	f.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(pullPeers, len(addresses))] {
		f.pullFrom(ctx, address, request)
	}
}

// question says what this process knows already.
func (f *Fleet) question(ctx context.Context) *wire.PullRequest {
	request := &wire.PullRequest{Sender: f.Identity()}
	state, err := ring.Request(ctx, f.pulls, func(reply *ring.Ring[pullResult]) pull { return pull{reply: reply} })
	if err != nil {
		return request // the process is stopping; the peer sends all that it has
	}
	for table, version := range state.known {
		request.Known = append(request.Known, &wire.TableVersion{Table: string(table), Version: version})
	}
	return request
}

func (f *Fleet) peerAddresses() []string {
	seen := map[string]bool{f.opts.Self.Address: true}
	var out []string
	add := func(address string) {
		if address != "" && !seen[address] {
			seen[address] = true
			out = append(out, address)
		}
	}
	for _, m := range f.View().Members {
		add(m.Address)
	}
	for _, seed := range *f.seeds.Load() {
		add(seed)
	}
	return out
}

// pullFrom asks a peer and reports whether the store serves it.
func (f *Fleet) pullFrom(ctx context.Context, address string, request *wire.PullRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := wire.NewDRPCCatalogClient(f.opts.Dial(ctx, address)).Pull(ctx, request)
	if err != nil {
		f.opts.Log.WithFields(logrus.Fields{"event": "pull_failed", "peer": address}).WithError(err).Debug("peer gave no rows")
		return false
	}
	byTable := make(map[Table][]Row)
	for _, r := range reply.Rows {
		row := Row{Table: Table(r.Table), Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed}
		byTable[row.Table] = append(byTable[row.Table], row)
	}
	for _, known := range reply.Known {
		table := Table(known.Table)
		u := update{source: "peer " + address, table: table, rows: byTable[table], version: known.Version}
		if err := f.updates.Send(ctx, u); err != nil {
			return false
		}
	}
	return reply.Served
}

// Pull implements the peer's side of the inner protocol.
func (f *Fleet) Pull(ctx context.Context, request *wire.PullRequest) (*wire.PullReply, error) {
	known := make(map[Table]uint64, len(request.Known))
	for _, k := range request.Known {
		known[Table(k.Table)] = k.Version
	}
	state, err := ring.Request(ctx, f.pulls, func(reply *ring.Ring[pullResult]) pull { return pull{known: known, reply: reply} })
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, "ask another peer", "process is stopping")
	}
	return encodePull(state), nil
}

func encodePull(state pullResult) *wire.PullReply {
	reply := &wire.PullReply{Served: state.served}
	for _, r := range state.rows {
		reply.Rows = append(reply.Rows, &wire.StoredRow{
			Table: string(r.Table), Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed,
		})
	}
	for table, version := range state.known {
		reply.Known = append(reply.Known, &wire.TableVersion{Table: string(table), Version: version})
	}
	return reply
}

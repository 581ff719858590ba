package fleet

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/wire"
)

const (
	// pullInterval is the interval between two pulls from peers while the store is
	// unavailable to this process.
	pullInterval = 300 * time.Millisecond
	pullTimeout  = 600 * time.Millisecond
	// pullFanout is the maximum number of peers queried in one round.
	pullFanout = 2
	// servedValidity is the time after a pull from a peer that reads the store in which
	// the store counts as available although this process cannot read it. It covers one
	// failed pull.
	servedValidity = pullInterval + pullTimeout + 100*time.Millisecond
)

// runPeers is the duty that pulls rows from peers while the store is unavailable to
// this process.
func (f *Fleet) runPeers(ctx context.Context) error {
	unavailable := false
	serving := ""
	for {
		if !unavailable {
			next, err := f.tablesUnavailable.Receive(ctx)
			if err != nil {
				return nil
			}
			unavailable = next
			continue
		}
		serving = f.pullOnce(ctx, serving)
		if !duty.Pause(ctx, pullInterval) {
			return nil
		}
		if next, ok := f.tablesUnavailable.TryReceive(); ok {
			unavailable = next
		}
	}
}

// pullOnce pulls from pullFanout peers: the one that served rows from the store in the last
// round, if any, and random ones. It returns the address of a peer that serves them now,
// or an empty one.
func (f *Fleet) pullOnce(ctx context.Context, serving string) (nowServing string) {
	request := f.newPullRequest(ctx)
	addresses := f.peerAddresses()
	f.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	if i := slices.Index(addresses, serving); i > 0 {
		addresses[0], addresses[i] = addresses[i], addresses[0]
	}
	for _, address := range addresses[:min(pullFanout, len(addresses))] {
		if f.pullFrom(ctx, address, request) && nowServing == "" {
			nowServing = address
		}
	}
	return nowServing
}

// newPullRequest returns a request with the positions that this process has seen.
func (f *Fleet) newPullRequest(ctx context.Context) *wire.PullRequest {
	request := &wire.PullRequest{Sender: f.Sender()}
	result, err := ring.Request(ctx, f.rowQueries, func(reply *ring.Ring[rowResult]) rowQuery { return rowQuery{reply: reply} })
	if err != nil {
		return request // the process is stopping; without positions the peer returns all rows
	}
	for table, position := range result.seen {
		request.Known = append(request.Known, &wire.TableVersion{Table: string(table), Version: position.Version, Generation: uint64(position.Generation)})
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

// pullFrom pulls rows from a peer and reports whether that peer reads the store
// directly without failures.
func (f *Fleet) pullFrom(ctx context.Context, address string, request *wire.PullRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := wire.NewDRPCCatalogClient(f.opts.Dial(ctx, address)).Pull(ctx, request)
	if err != nil {
		f.opts.Log.WithFields(logrus.Fields{"event": "pull_failed", "peer": address}).WithError(err).Debug("pull from peer failed; no rows received")
		return false
	}
	byTable := make(map[Table][]Row)
	for _, r := range reply.Rows {
		row := Row{Table: Table(r.Table), Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed}
		byTable[row.Table] = append(byTable[row.Table], row)
	}
	for _, tableVersion := range reply.Known {
		table := Table(tableVersion.Table)
		u := update{
			source: "peer " + address, table: table, rows: byTable[table], complete: tableVersion.Complete,
			position: Position{core.Generation(tableVersion.Generation), tableVersion.Version}, served: reply.Served,
		}
		if err := f.updates.Send(ctx, u); err != nil {
			return false
		}
	}
	return reply.Served
}

// Pull implements the Pull call of the protocol between the system's processes. It
// returns the rows that are newer than the positions in the request. A table is returned
// completely if the requester has an older generation of it, or may have rows whose
// removal is unknown here.
func (f *Fleet) Pull(ctx context.Context, request *wire.PullRequest) (*wire.PullReply, error) {
	seen := make(map[Table]Position, len(request.Known))
	for _, k := range request.Known {
		seen[Table(k.Table)] = Position{core.Generation(k.Generation), k.Version}
	}
	result, err := ring.Request(ctx, f.rowQueries, func(reply *ring.Ring[rowResult]) rowQuery { return rowQuery{seen: seen, reply: reply} })
	if err != nil {
		return nil, errs.Wrap(err, errs.Unavailable, "query another peer", "rows were not read before the call ended")
	}
	return encodePullReply(result), nil
}

func encodePullReply(result rowResult) *wire.PullReply {
	reply := &wire.PullReply{Served: result.readsStore}
	for _, r := range result.rows {
		reply.Rows = append(reply.Rows, &wire.StoredRow{
			Table: string(r.Table), Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed,
		})
	}
	for table, position := range result.seen {
		reply.Known = append(reply.Known, &wire.TableVersion{
			Table: string(table), Version: position.Version, Generation: uint64(position.Generation), Complete: result.complete[table],
		})
	}
	return reply
}

package control_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/control"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/duty"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/stores"
	"waxwingtide.example/waxwingtide/wire"
)

// platformFake is the table, the object store and the list in memory, with
// fault switches.
type platformFake struct {
	mu      sync.Mutex
	rows    map[stores.Key]stores.Row
	done    map[string]bool
	objects map[string][]byte
	vms     []stores.VM
	// down makes table and object store refuse all requests.
	down bool
	// loseAnswers is how many transactions take effect without an answer.
	loseAnswers int
	// downAfterLoss takes the table down with the next lost answer.
	downAfterLoss bool
	// slow delays each request.
	slow          time.Duration
	reads, writes int
}

func newPlatform() *platformFake {
	return &platformFake{rows: map[stores.Key]stores.Row{}, done: map[string]bool{}, objects: map[string][]byte{}}
}

func (p *platformFake) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// enter waits as long as the platform is slow and takes the lock. A process
// whose table is away gets no answer, as if it were paused.
func (p *platformFake) enter(ctx context.Context, from *node) error {
	if from != nil && from.tableAway.Load() {
		<-ctx.Done()
	}
	p.mu.Lock()
	slow := p.slow
	p.mu.Unlock()
	if slow > 0 { // a timer that is due at once crashes the runtime under the race detector
		select {
		case <-time.After(slow):
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil {
		return errs.Wrap(ctx.Err(), errs.Unavailable, "retry", "fake is slow")
	}
	p.mu.Lock()
	if p.down {
		p.mu.Unlock()
		return errs.New(errs.Unavailable, "retry", "fake is down")
	}
	return nil
}

// tableFake is the table as one process reaches it.
type tableFake struct {
	*platformFake
	from *node
}

func (p tableFake) Get(ctx context.Context, key stores.Key) (stores.Row, error) {
	if err := p.enter(ctx, p.from); err != nil {
		return stores.Row{}, err
	}
	defer p.mu.Unlock()
	p.reads++
	row := p.rows[key]
	row.Key = key
	return row, nil
}

func (p tableFake) List(ctx context.Context, partition, after string, limit int) ([]stores.Row, error) {
	if err := p.enter(ctx, p.from); err != nil {
		return nil, err
	}
	defer p.mu.Unlock()
	var rows []stores.Row
	for k, r := range p.rows {
		if k.Partition == partition && k.Sort > after {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b stores.Row) int { return cmp.Compare(a.Key.Sort, b.Key.Sort) })
	return rows[:min(limit, len(rows))], nil
}

func (p tableFake) Transact(ctx context.Context, id string, writes []stores.Write) error {
	if err := p.enter(ctx, p.from); err != nil {
		return err
	}
	defer p.mu.Unlock()
	p.writes++
	if p.done[id] {
		return nil
	}
	for _, w := range writes {
		if p.rows[w.Key].Version != w.IfVersion {
			return errs.New(errs.Conflict, "read again", "row %s/%s changed", w.Key.Partition, w.Key.Sort)
		}
	}
	for _, w := range writes {
		p.rows[w.Key] = stores.Row{Key: w.Key, Version: w.IfVersion + 1, Value: w.Value}
	}
	p.done[id] = true
	if p.loseAnswers > 0 {
		p.loseAnswers--
		p.down = p.down || p.downAfterLoss
		return errs.New(errs.Unknown, "read the id back", "fake lost the answer")
	}
	return nil
}

// objectsFake is the object store.
type objectsFake struct{ *platformFake }

func (o objectsFake) Put(ctx context.Context, name string, body []byte) error {
	if err := o.enter(ctx, nil); err != nil {
		return err
	}
	defer o.mu.Unlock()
	o.objects[name] = body
	return nil
}

func (o objectsFake) Get(ctx context.Context, name string) ([]byte, error) {
	if err := o.enter(ctx, nil); err != nil {
		return nil, err
	}
	defer o.mu.Unlock()
	body, ok := o.objects[name]
	if !ok {
		return nil, errs.New(errs.NotFound, "store it", "no object %s", name)
	}
	return body, nil
}

// listerFake serves the list even while the table is down.
type listerFake struct{ *platformFake }

func (l listerFake) List(context.Context) ([]stores.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.vms), nil
}

// network joins processes in memory. Messages are encoded as on the wire.
type network struct {
	mu      sync.RWMutex
	nodes   map[string]endpoint
	cut     func(from, to *node) bool
	latency time.Duration
	// hang makes cut calls wait for their timeout instead of failing at once.
	hang bool
	// bytes counts both directions, with the frame and name of each call.
	bytes, messages atomic.Int64
}

// endpoint is one incarnation of a process.
type endpoint struct {
	node   *node
	server wire.DRPCPeerServer
}

// callOverhead is the size of a call's name and frame headers in drpc.
const callOverhead = 50

type link struct {
	net    *network
	from   *node
	to     string
	closed chan struct{}
}

func (l *link) Close() error            { return nil }
func (l *link) Closed() <-chan struct{} { return l.closed }
func (l *link) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, io.ErrUnexpectedEOF
}

func (l *link) peer() (endpoint, error) {
	l.net.mu.RLock()
	defer l.net.mu.RUnlock()
	to := l.net.nodes[l.to]
	if to.node == nil || (l.net.cut != nil && (l.net.cut(l.from, to.node) || l.net.cut(to.node, l.from))) {
		return to, io.ErrClosedPipe
	}
	return to, nil
}

func (l *link) Invoke(ctx context.Context, rpc string, _ drpc.Encoding, in, out drpc.Message) error {
	to, err := l.peer()
	if err != nil && l.net.hang {
		<-ctx.Done()
	}
	if err != nil {
		return err
	}
	time.Sleep(l.net.latency)
	var reply *wire.Delta
	if strings.HasSuffix(rpc, "/Exchange") {
		digest := &wire.Digest{}
		l.move(in, digest)
		reply, err = to.server.Exchange(ctx, digest)
	} else {
		delta := &wire.Delta{}
		l.move(in, delta)
		reply, err = to.server.Deliver(ctx, delta)
	}
	time.Sleep(l.net.latency)
	if _, lost := l.peer(); err == nil {
		err = lost
	}
	if err == nil {
		l.move(reply, out)
	}
	return err
}

// move encodes one message and decodes it on the other side.
func (l *link) move(from, to drpc.Message) {
	raw, err := proto.Marshal(from.(proto.Message))
	if err != nil {
		panic(err)
	}
	l.net.bytes.Add(int64(len(raw) + callOverhead/2))
	l.net.messages.Add(1)
	if err := proto.Unmarshal(raw, to.(proto.Message)); err != nil {
		panic(err)
	}
}

// node is one process of a cluster.
type node struct {
	cluster *cluster
	options control.Options
	control *control.Control
	group   *duty.Group
	// tableAway cuts this process from the table, as a pause would.
	tableAway atomic.Bool
	// terms counts the running calls of OnLease.
	terms atomic.Int64
	views *ring.Ring[*facts.View]
}

// cluster is a set of processes in failure domains a, b, c.
type cluster struct {
	t        testing.TB
	platform *platformFake
	net      *network
	nodes    []*node
	// failed holds all processes after some were made to fail.
	failed []*node
	lives  uint64
	tune   func(*control.Options)
}

var domains = []core.FailureDomain{"a", "b", "c"}

// inCluster runs a test with a cluster of n processes in a synctest bubble.
func inCluster(t *testing.T, n int, tune func(*control.Options), run func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t: t, platform: newPlatform(), tune: tune,
			net: &network{nodes: map[string]endpoint{}, latency: 1500 * time.Microsecond},
		}
		for i := range n {
			nd := &node{cluster: c}
			nd.options = control.Options{
				Node: core.NodeID(fmt.Sprintf("n%04d", i)), Role: "entry",
				FailureDomain: domains[i%len(domains)], FailureDomains: domains,
				Address: fmt.Sprintf("127.0.%d.%d:7000", i/250, i%250+1),
				Seed:    uint64(i + 1),
			}
			c.nodes = append(c.nodes, nd)
		}
		for _, nd := range c.nodes {
			nd.start()
		}
		defer func() {
			if c.failed != nil {
				c.nodes = c.failed
			}
			for _, nd := range c.nodes {
				nd.stop()
			}
		}()
		run(t, c)
	})
}

// start starts a new incarnation and puts it on the list.
func (n *node) start() {
	c := n.cluster
	c.lives++
	n.options.Incarnation = core.Incarnation(c.lives)
	log := logrus.New()
	log.SetOutput(io.Discard)
	n.options.Log = log
	n.options.Table = tableFake{c.platform, n}
	n.options.Objects = objectsFake{c.platform}
	n.options.Lister = listerFake{c.platform}
	n.options.ParseBundle = func(body []byte) (*bundle.Index, error) {
		if !bytes.HasPrefix(body, []byte("bundle")) {
			return nil, errs.New(errs.Invalid, "fix it", "not a bundle")
		}
		return &bundle.Index{}, nil
	}
	n.options.Dial = func(_ context.Context, address string) (drpc.Conn, error) {
		return &link{net: c.net, from: n, to: address, closed: make(chan struct{})}, nil
	}
	if c.tune != nil {
		c.tune(&n.options)
	}
	if n.options.OnLease != nil {
		n.options.OnLease = func(ctx context.Context, _ core.Fence) error {
			n.terms.Add(1)
			defer n.terms.Add(-1)
			<-ctx.Done()
			return ctx.Err()
		}
	}
	var err error
	n.control, err = control.New(n.options)
	require.NoError(c.t, err)
	n.views = n.control.Subscribe()
	n.group = duty.NewGroup(context.Background(), log)
	n.control.Start(n.group)
	c.net.mu.Lock()
	c.net.nodes[n.options.Address] = endpoint{n, n.control.PeerServer()}
	c.net.mu.Unlock()
	c.list(n, stores.VMLive)
}

func (n *node) stop() {
	c := n.cluster
	c.net.mu.Lock()
	delete(c.net.nodes, n.options.Address)
	c.net.mu.Unlock()
	n.group.Stop()
	require.NoError(c.t, n.group.Wait())
}

// list sets a process's entry on the platform's list.
func (c *cluster) list(n *node, state stores.VMState) {
	c.platform.set(func() {
		c.platform.vms = slices.DeleteFunc(c.platform.vms, func(v stores.VM) bool { return v.Node == n.options.Node })
		c.platform.vms = append(c.platform.vms, stores.VM{
			Node: n.options.Node, Role: "entry", FailureDomain: n.options.FailureDomain,
			State: state, Incarnation: n.options.Incarnation, Address: n.options.Address,
		})
	})
}

// until advances the bubble's time until the condition holds, and returns how long
// that took.
func (c *cluster) until(what string, limit time.Duration, holds func() bool) time.Duration {
	c.t.Helper()
	const step = 10 * time.Millisecond
	for took := time.Duration(0); took <= limit; took += step {
		synctest.Wait()
		if holds() {
			return took
		}
		time.Sleep(step)
	}
	require.FailNow(c.t, "not reached in time: "+what)
	return 0
}

func (c *cluster) all(holds func(n *node) bool) func() bool {
	return func() bool {
		for _, n := range c.nodes {
			if !holds(n) {
				return false
			}
		}
		return true
	}
}

// everywhere waits until every process is ready with an epoch in force.
func (c *cluster) everywhere(epoch core.Epoch, limit time.Duration) time.Duration {
	c.t.Helper()
	return c.until(fmt.Sprint("epoch ", epoch, " everywhere"), limit, c.all(func(n *node) bool {
		return n.control.Ready() && n.control.Epoch() == epoch
	}))
}

// setCut sets which processes cannot reach each other.
func (c *cluster) setCut(cut func(from, to *node) bool) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.net.cut = cut
}

// begin puts a first bundle in force everywhere.
func (c *cluster) begin() {
	c.t.Helper()
	_, err := c.nodes[0].signOff(context.Background(), "first")
	require.NoError(c.t, err)
	c.everywhere(1, 10*time.Second)
}

// signOff stores a bundle and gives the permission for it.
func (n *node) signOff(ctx context.Context, id string) (facts.Head, error) {
	return n.permitBody(ctx, id, "bundle "+id)
}

func (n *node) permitBody(ctx context.Context, id, body string) (facts.Head, error) {
	digest, err := n.control.StoreBundle(ctx, []byte(body))
	if err != nil {
		return facts.Head{}, err
	}
	return n.control.Permit(ctx, id, func(h facts.Head) (facts.Head, error) {
		h.BundleDigest = digest
		return h, nil
	}, control.AuditEntry{Actor: "operator", Action: "sign_off"})
}

// restrictionAudit returns the details of the restrictions in the trail.
func (c *cluster) restrictionAudit() []string {
	rows, err := tableFake{c.platform, nil}.List(context.Background(), "audit", "", 10_000)
	require.NoError(c.t, err)
	var out []string
	for _, r := range rows {
		if strings.Contains(r.Key.Sort, "/r/") {
			out = append(out, r.Key.Sort[strings.LastIndex(r.Key.Sort, "/")+1:])
		}
	}
	return out
}

func upstream(name string) facts.Subject {
	return facts.Subject{Kind: facts.SubjectUpstream, Name: name}
}

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

// fakePlatform implements the table, the object store and the member list in memory and
// injects faults.
type fakePlatform struct {
	mu   sync.Mutex
	rows map[stores.Key]stores.Row
	// appliedOperations contains the transaction ids of the transactions that took
	// effect. A transaction id is the id passed to Transact, not the operation id of a
	// permit.
	appliedOperations map[string]bool
	objects           map[string][]byte
	vms               []stores.VM
	// unavailable makes the table and the object store refuse all requests.
	unavailable bool
	// responsesToLose is the number of following transactions that take effect, but whose
	// response is lost.
	responsesToLose int
	// unavailableAfterLoss makes the platform unavailable after the next lost response.
	unavailableAfterLoss bool
	// delay is the duration of each request.
	delay time.Duration
	// readCount and writeCount count the rows read by key and the transactions.
	readCount, writeCount int
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{rows: map[stores.Key]stores.Row{}, appliedOperations: map[string]bool{}, objects: map[string][]byte{}}
}

// update changes fields under the lock.
func (p *fakePlatform) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// lockForRequest waits for the delay of the platform and acquires the lock if it returns
// no error. A process whose table is unavailable gets no response before its deadline.
func (p *fakePlatform) lockForRequest(ctx context.Context, requester *node) error {
	if requester != nil && requester.tableUnavailable.Load() {
		<-ctx.Done()
	}
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	if delay > 0 { // a timer that is due when it is created crashes the runtime under the race detector
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil {
		return errs.Wrap(ctx.Err(), errs.Unavailable, "retry", "fake platform did not respond in time")
	}
	p.mu.Lock()
	if p.unavailable {
		p.mu.Unlock()
		return errs.New(errs.Unavailable, "retry", "fake platform is unavailable")
	}
	return nil
}

// fakeTable is the table for one client.
type fakeTable struct {
	*fakePlatform
	// client is nil for requests of the test itself.
	client *node
}

func (p fakeTable) Get(ctx context.Context, key stores.Key) (stores.Row, error) {
	if err := p.lockForRequest(ctx, p.client); err != nil {
		return stores.Row{}, err
	}
	defer p.mu.Unlock()
	p.readCount++
	row := p.rows[key]
	row.Key = key
	return row, nil
}

func (p fakeTable) List(ctx context.Context, partition, afterSort string, limit int) ([]stores.Row, error) {
	if err := p.lockForRequest(ctx, p.client); err != nil {
		return nil, err
	}
	defer p.mu.Unlock()
	var rows []stores.Row
	for k, r := range p.rows {
		if k.Partition == partition && k.Sort > afterSort {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b stores.Row) int { return cmp.Compare(a.Key.Sort, b.Key.Sort) })
	return rows[:min(limit, len(rows))], nil
}

func (p fakeTable) Transact(ctx context.Context, id string, writes []stores.Write) error {
	if err := p.lockForRequest(ctx, p.client); err != nil {
		return err
	}
	defer p.mu.Unlock()
	p.writeCount++
	if p.appliedOperations[id] {
		return nil
	}
	for _, w := range writes {
		if p.rows[w.Key].Version != w.ExpectedVersion {
			return errs.New(errs.Conflict, "read the row again", "row %s/%s has changed", w.Key.Partition, w.Key.Sort)
		}
	}
	for _, w := range writes {
		p.rows[w.Key] = stores.Row{Key: w.Key, Version: w.ExpectedVersion + 1, Value: w.Value}
	}
	p.appliedOperations[id] = true
	if p.responsesToLose > 0 {
		p.responsesToLose--
		p.unavailable = p.unavailable || p.unavailableAfterLoss
		return errs.New(errs.Unknown, "read the operation id back", "fake platform lost the response")
	}
	return nil
}

// fakeObjects is the object store.
type fakeObjects struct{ *fakePlatform }

func (o fakeObjects) Put(ctx context.Context, name string, body []byte) error {
	if err := o.lockForRequest(ctx, nil); err != nil {
		return err
	}
	defer o.mu.Unlock()
	o.objects[name] = body
	return nil
}

func (o fakeObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := o.lockForRequest(ctx, nil); err != nil {
		return nil, err
	}
	defer o.mu.Unlock()
	body, ok := o.objects[name]
	if !ok {
		return nil, errs.New(errs.NotFound, "store the object", "object %s does not exist", name)
	}
	return body, nil
}

// fakeLister returns the member list, also while the table is unavailable.
type fakeLister struct{ *fakePlatform }

func (l fakeLister) List(context.Context) ([]stores.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.vms), nil
}

// network connects processes in memory. Messages are encoded as on the wire.
type network struct {
	mu sync.RWMutex
	// nodes contains the running processes by address.
	nodes map[string]endpoint
	// partitioned reports whether the source cannot send messages to the destination.
	// Calls between two processes fail if either direction is partitioned.
	partitioned func(source, destination *node) bool
	// latency is the one-way latency of a message.
	latency time.Duration
	// hangPartitioned makes calls over a partition wait until their deadline instead of
	// failing immediately.
	hangPartitioned bool
	// bytes and messages count both directions. bytes includes the call overhead.
	bytes, messages atomic.Int64
}

// endpoint is one incarnation of a process.
type endpoint struct {
	node   *node
	server wire.DRPCPeerServer
}

// callOverheadBytes is the size of the name and the frame headers of one drpc call.
const callOverheadBytes = 50

// link is a connection from a process to an address.
type link struct {
	net     *network
	source  *node
	address string
	closed  chan struct{}
}

func (l *link) Close() error            { return nil }
func (l *link) Closed() <-chan struct{} { return l.closed }
func (l *link) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, io.ErrUnexpectedEOF
}

// destination returns the process at the address of the link, or an error if it does not
// run or is partitioned from the process at this end.
func (l *link) destination() (endpoint, error) {
	l.net.mu.RLock()
	defer l.net.mu.RUnlock()
	dest := l.net.nodes[l.address]
	if dest.node == nil || (l.net.partitioned != nil && (l.net.partitioned(l.source, dest.node) || l.net.partitioned(dest.node, l.source))) {
		return dest, io.ErrClosedPipe
	}
	return dest, nil
}

func (l *link) Invoke(ctx context.Context, rpc string, _ drpc.Encoding, in, out drpc.Message) error {
	dest, err := l.destination()
	if err != nil && l.net.hangPartitioned {
		<-ctx.Done()
	}
	if err != nil {
		return err
	}
	time.Sleep(l.net.latency)
	var reply *wire.Delta
	if strings.HasSuffix(rpc, "/Exchange") {
		digest := &wire.Digest{}
		l.transfer(in, digest)
		reply, err = dest.server.Exchange(ctx, digest)
	} else {
		delta := &wire.Delta{}
		l.transfer(in, delta)
		reply, err = dest.server.Deliver(ctx, delta)
	}
	time.Sleep(l.net.latency)
	if _, lostErr := l.destination(); err == nil {
		err = lostErr
	}
	if err == nil {
		l.transfer(reply, out)
	}
	return err
}

// transfer encodes a message and decodes it into target.
func (l *link) transfer(source, target drpc.Message) {
	raw, err := proto.Marshal(source.(proto.Message))
	if err != nil {
		panic(err)
	}
	l.net.bytes.Add(int64(len(raw) + callOverheadBytes/2))
	l.net.messages.Add(1)
	if err := proto.Unmarshal(raw, target.(proto.Message)); err != nil {
		panic(err)
	}
}

// node is one process of a cluster.
type node struct {
	cluster *cluster
	options control.Options
	control *control.Control
	group   *duty.Group
	// tableUnavailable makes the table unavailable for this process only, which has the
	// same effect on its requests as a pause of the process.
	tableUnavailable atomic.Bool
	// onLeaseCalls counts the running calls of OnLease.
	onLeaseCalls atomic.Int64
	views        *ring.Ring[*facts.View]
}

// cluster is a set of processes in the failure domains a, b and c.
type cluster struct {
	t        testing.TB
	platform *fakePlatform
	net      *network
	// nodes contains the processes that did not fail.
	nodes []*node
	// allNodes contains the failed and the other processes. It is nil until processes
	// have been made to fail.
	allNodes []*node
	// incarnations counts the started incarnations of all processes.
	incarnations uint64
	// configure, if set, changes the options of each process before it starts.
	configure func(*control.Options)
}

var domains = []core.FailureDomain{"a", "b", "c"}

// withCluster runs a test with a cluster of n processes in a synctest bubble.
func withCluster(t *testing.T, n int, configure func(*control.Options), run func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t: t, platform: newFakePlatform(), configure: configure,
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
			if c.allNodes != nil {
				c.nodes = c.allNodes
			}
			for _, nd := range c.nodes {
				nd.stop()
			}
		}()
		run(t, c)
	})
}

// start starts a new incarnation and adds it to the member list.
func (n *node) start() {
	c := n.cluster
	c.incarnations++
	n.options.Incarnation = core.Incarnation(c.incarnations)
	log := logrus.New()
	log.SetOutput(io.Discard)
	n.options.Log = log
	n.options.Table = fakeTable{c.platform, n}
	n.options.Objects = fakeObjects{c.platform}
	n.options.Lister = fakeLister{c.platform}
	n.options.ParseBundle = func(body []byte) (*bundle.Index, error) {
		if !bytes.HasPrefix(body, []byte("bundle")) {
			return nil, errs.New(errs.Invalid, "use a body that starts with bundle", "body is not a bundle")
		}
		return &bundle.Index{}, nil
	}
	n.options.Dial = func(_ context.Context, address string) (drpc.Conn, error) {
		return &link{net: c.net, source: n, address: address, closed: make(chan struct{})}, nil
	}
	if c.configure != nil {
		c.configure(&n.options)
	}
	if n.options.OnLease != nil { // the test only requests that the process contends for the lease
		n.options.OnLease = func(ctx context.Context, _ core.Fence) error {
			n.onLeaseCalls.Add(1)
			defer n.onLeaseCalls.Add(-1)
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
	c.setListed(n, stores.VMLive)
}

func (n *node) stop() {
	c := n.cluster
	c.net.mu.Lock()
	delete(c.net.nodes, n.options.Address)
	c.net.mu.Unlock()
	n.group.Stop()
	require.NoError(c.t, n.group.Wait())
}

// setListed sets the state and the incarnation of a process in the member list.
func (c *cluster) setListed(n *node, state stores.VMState) {
	c.platform.update(func() {
		c.platform.vms = slices.DeleteFunc(c.platform.vms, func(v stores.VM) bool { return v.Node == n.options.Node })
		c.platform.vms = append(c.platform.vms, stores.VM{
			Node: n.options.Node, Role: "entry", FailureDomain: n.options.FailureDomain,
			State: state, Incarnation: n.options.Incarnation, Address: n.options.Address,
		})
	})
}

// waitUntil advances the time of the bubble until the condition is true and returns the
// elapsed time. The test fails if the limit is exceeded.
func (c *cluster) waitUntil(what string, limit time.Duration, condition func() bool) time.Duration {
	c.t.Helper()
	const step = 10 * time.Millisecond
	for elapsed := time.Duration(0); elapsed <= limit; elapsed += step {
		synctest.Wait()
		if condition() {
			return elapsed
		}
		time.Sleep(step)
	}
	require.FailNow(c.t, "condition not reached within the limit: "+what)
	return 0
}

// onRunningNodes returns a condition that is true if the given one is true for every process
// that did not fail.
func (c *cluster) onRunningNodes(condition func(n *node) bool) func() bool {
	return func() bool {
		for _, n := range c.nodes {
			if !condition(n) {
				return false
			}
		}
		return true
	}
}

// waitForEpoch waits until every process is ready and has the epoch in force.
func (c *cluster) waitForEpoch(epoch core.Epoch, limit time.Duration) time.Duration {
	c.t.Helper()
	return c.waitUntil(fmt.Sprint("epoch ", epoch, " everywhere"), limit, c.onRunningNodes(func(n *node) bool {
		return n.control.Ready() && n.control.Epoch() == epoch
	}))
}

// setPartition sets which processes cannot reach each other. nil ends the partition.
func (c *cluster) setPartition(partitioned func(source, destination *node) bool) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.net.partitioned = partitioned
}

// signOffFirst puts a first bundle in force in all processes.
func (c *cluster) signOffFirst() {
	c.t.Helper()
	_, err := c.nodes[0].signOff(context.Background(), "first")
	require.NoError(c.t, err)
	c.waitForEpoch(1, 10*time.Second)
}

// signOff stores a bundle and grants the permission for it.
func (n *node) signOff(ctx context.Context, id string) (facts.Head, error) {
	return n.signOffBody(ctx, id, "bundle "+id)
}

func (n *node) signOffBody(ctx context.Context, id, body string) (facts.Head, error) {
	digest, err := n.control.StoreBundle(ctx, []byte(body))
	if err != nil {
		return facts.Head{}, err
	}
	return n.control.Permit(ctx, id, func(h facts.Head) (facts.Head, error) {
		h.BundleDigest = digest
		return h, nil
	}, control.AuditEntry{Actor: "operator", Action: "sign_off"})
}

// auditedRestrictions returns the subject names of the restrictions in the audit trail,
// sorted by their position in it.
func (c *cluster) auditedRestrictions() []string {
	rows, err := fakeTable{c.platform, nil}.List(context.Background(), "audit", "", 10_000)
	require.NoError(c.t, err)
	var out []string
	for _, r := range rows {
		if strings.Contains(r.Key.Sort, "/r/") {
			out = append(out, r.Key.Sort[strings.LastIndex(r.Key.Sort, "/")+1:])
		}
	}
	return out
}

func upstreamSubject(name string) facts.Subject {
	return facts.Subject{Kind: facts.SubjectUpstream, Name: name}
}

// Package admintest offers an in-memory control plane, object store and table
// for tests of the administration API and its users.
package admintest

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync/atomic"

	"waxwingtide.example/waxwingtide/admin"
	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/stores"
)

// Control is an in-memory admin.Control.
type Control struct {
	Objects *Objects
	// TableAway makes permissions fail as unavailable.
	TableAway atomic.Bool
	// LoseAnswers is how many further permissions take effect without an answer.
	LoseAnswers atomic.Int32
	// Load is returned by Loads.
	Load  []admin.UpstreamLoad
	state atomic.Pointer[state]
}

// state is immutable; each change replaces it.
type state struct {
	view       *facts.View
	audit      []admin.AuditEntry
	operations map[string]facts.Head
}

// NewControl returns a control plane without a bundle.
func NewControl() *Control {
	c := &Control{Objects: &Objects{}}
	c.state.Store(&state{view: &facts.View{}})
	return c
}

// View implements admin.Control.
func (c *Control) View() *facts.View { return c.state.Load().view }

func (c *Control) update(change func(state) (*state, error)) error {
	for {
		old := c.state.Load()
		next, err := change(*old)
		if err != nil {
			return err
		}
		if c.state.CompareAndSwap(old, next) {
			return nil
		}
	}
}

// Restrict implements admin.Control.
func (c *Control) Restrict(_ context.Context, r facts.Restriction) error {
	return c.update(func(s state) (*state, error) {
		view := *s.view
		view.Restrictions = maps.Clone(view.Restrictions)
		if view.Restrictions == nil {
			view.Restrictions = make(map[facts.Subject]facts.Restriction)
		}
		view.Restrictions[r.Subject] = r
		s.view = &view
		return &s, nil
	})
}

// Permit implements admin.Control.
func (c *Control) Permit(ctx context.Context, id string, change func(facts.Head) (facts.Head, error), entry admin.AuditEntry) (facts.Head, error) {
	if c.TableAway.Load() {
		return facts.Head{}, errs.New(errs.Unavailable, "retry later", "table does not answer")
	}
	var head facts.Head
	err := c.update(func(s state) (*state, error) {
		if done, ok := s.operations[id]; ok {
			head = done
			return &s, nil
		}
		next, err := change(s.view.Head)
		if err != nil {
			return nil, err
		}
		next.Epoch = s.view.Head.Epoch + 1
		entry.Epoch = next.Epoch
		head = next
		s.audit = append(slices.Clone(s.audit), entry)
		s.operations = maps.Clone(s.operations)
		if s.operations == nil {
			s.operations = make(map[string]facts.Head)
		}
		s.operations[id] = next
		s.view, err = c.viewOf(ctx, *s.view, next)
		return &s, err
	})
	if err == nil && c.LoseAnswers.Add(-1) >= 0 {
		return facts.Head{}, errs.New(errs.Unknown, "read the operation id back", "answer was lost")
	}
	return head, err
}

func (c *Control) viewOf(ctx context.Context, v facts.View, head facts.Head) (*facts.View, error) {
	v.Head = head
	body, err := c.Objects.Get(ctx, admin.ObjectName(head.BundleDigest))
	if err != nil {
		return nil, err
	}
	b, err := bundle.Decode(body, head.BundleDigest)
	if err != nil {
		return nil, err
	}
	v.Index = bundle.NewIndex(b)
	return &v, nil
}

// SetRollouts replaces the stages of the rollouts, as the rollout driver would.
func (c *Control) SetRollouts(ctx context.Context, id string, change func(facts.Head) facts.Head) error {
	_, err := c.Permit(ctx, id, func(h facts.Head) (facts.Head, error) { return change(h), nil }, admin.AuditEntry{Action: "stage"})
	return err
}

// Members implements admin.Control.
func (c *Control) Members() []admin.Member {
	return []admin.Member{{Node: "entry-1", Role: "entry", FailureDomain: "Celaya", State: "live"}}
}

// Loads implements admin.Control.
func (c *Control) Loads() []admin.UpstreamLoad { return c.Load }

// Audit implements admin.Control.
func (c *Control) Audit(_ context.Context, after string, limit int) ([]admin.AuditEntry, string, error) {
	all := c.state.Load().audit
	start, _ := strconv.Atoi(after)
	start = min(start, len(all))
	end := min(start+limit, len(all))
	next := ""
	if end < len(all) {
		next = strconv.Itoa(end)
	}
	return all[start:end], next, nil
}

// Objects is an in-memory stores.ObjectStore.
type Objects struct{ rows Table }

// Put implements stores.ObjectStore.
func (o *Objects) Put(_ context.Context, name string, body []byte) error {
	o.rows.rows.Store(stores.Key{Sort: name}, &stores.Row{Value: body})
	return nil
}

// Get implements stores.ObjectStore.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	row, err := o.rows.Get(ctx, stores.Key{Sort: name})
	if err == nil && row.Value == nil {
		err = errs.New(errs.NotFound, "store it first", "there is no object %s", name)
	}
	return row.Value, err
}

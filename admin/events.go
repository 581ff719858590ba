package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/rollout"
)

const (
	// eventInterval is the time between two looks at the view. Operators see a
	// change within this time; the view itself is a snapshot that is free to read.
	eventInterval = 250 * time.Millisecond
	// maxWatchers bounds the connections of the watch route at one process.
	maxWatchers = 64
	// watcherEvents is how many events wait for one watcher; the oldest are
	// dropped and counted.
	watcherEvents = 256
	// heartbeatInterval is the time between comment lines on an idle stream,
	// which keep intermediaries from closing it.
	heartbeatInterval = 15 * time.Second
)

// watcher is one connection of the watch route.
type watcher struct {
	events *ring.Ring[Event]
	gone   <-chan struct{}
}

// Events is the duty that follows the view: it sends changes to watchers and
// hands completed and withdrawn rollouts to the notices duty. It owns the list
// of watchers and the last view.
func (s *Server) Events(ctx context.Context) error {
	ticker := time.NewTicker(eventInterval)
	defer ticker.Stop()
	state := newFollower(s.timing)
	defer s.endWatches(state)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.watchers.Ready():
			state.admit(s.watchers)
		case <-ticker.C:
			s.follow(state)
		}
	}
}

// endWatches ends every stream, so that a graceful shutdown does not wait for
// watchers. Their clients connect to another process.
func (s *Server) endWatches(f *follower) {
	s.watchers.Close()
	for {
		w, ok := s.watchers.TryReceive()
		if !ok {
			break
		}
		w.events.Close()
	}
	for _, w := range f.watchers {
		w.events.Close()
	}
}

// follower is the state of the Events duty.
type follower struct {
	timing   rollout.Timing
	last     *facts.View
	watchers []*watcher
	noticed  map[string]bool
}

// newFollower starts from an empty view, so that changes that came before the
// duty's first look reach the watchers too.
func newFollower(t rollout.Timing) *follower {
	empty := &facts.View{Index: bundle.NewIndex(new(bundle.Bundle))}
	return &follower{timing: t, last: empty, noticed: make(map[string]bool)}
}

func (f *follower) admit(joining *ring.Ring[*watcher]) {
	for {
		w, ok := joining.TryReceive()
		if !ok {
			return
		}
		f.dropGone()
		if len(f.watchers) >= maxWatchers {
			w.events.Close()
			continue
		}
		f.watchers = append(f.watchers, w)
	}
}

func (f *follower) dropGone() {
	kept := f.watchers[:0]
	for _, w := range f.watchers {
		select {
		case <-w.gone:
		default:
			kept = append(kept, w)
		}
	}
	clear(f.watchers[len(kept):])
	f.watchers = kept
}

func (s *Server) follow(f *follower) {
	v := s.control.View()
	if !v.HasBundle() {
		return
	}
	if v != f.last {
		// A watcher joins before it reads the view, so admitting it here leaves no
		// change that it sees neither in that view nor as an event.
		f.admit(s.watchers)
		f.dropGone()
		events := changes(f.last, v, f.timing, s.now().UTC())
		for _, w := range f.watchers {
			for _, e := range events {
				w.events.Push(e)
			}
		}
		f.last = v
	}
	s.notice(f, v)
}

// notice hands over each final state of a rollout once. A final state that was
// reached before this process began is handed over too, because the process
// that saw it may have ended; the claim in the table prevents a second post.
func (s *Server) notice(f *follower, v *facts.View) {
	if s.notices == nil || !s.notifies() {
		return
	}
	for _, status := range rolloutStatuses(v, f.timing) {
		n, final := newNotice(status, v, s.now().UTC())
		if !final || f.noticed[n.ID] {
			continue
		}
		f.noticed[n.ID] = true
		if !s.notices.ring.Push(n) {
			s.log.WithFields(logrus.Fields{"event": "notice_dropped", "total": s.notices.ring.Dropped()}).Warn("a waiting notice was dropped")
		}
	}
}

// changes lists what differs between two views.
func changes(before, after *facts.View, t rollout.Timing, now time.Time) []Event {
	var out []Event
	add := func(e Event) {
		e.At, e.Epoch = now, after.Head.Epoch
		out = append(out, e)
	}
	if before.Head.Epoch != after.Head.Epoch {
		add(Event{Type: EventHead})
	}
	was := restrictionsByName(before)
	is := restrictionsByName(after)
	for key, r := range is {
		if _, held := was[key]; !held {
			add(Event{Type: EventRestricted, Restriction: &r})
		}
	}
	for key, r := range was {
		if _, holds := is[key]; !holds {
			add(Event{Type: EventLifted, Restriction: &r})
		}
	}
	earlier := make(map[core.ModelID]RolloutStatus)
	for _, status := range rolloutStatuses(before, t) {
		earlier[status.Model] = status
	}
	for _, status := range rolloutStatuses(after, t) {
		if !reflect.DeepEqual(earlier[status.Model], status) {
			add(Event{Type: EventRollout, Rollout: &status})
		}
	}
	return out
}

type restrictionKey struct{ kind, name string }

func restrictionsByName(v *facts.View) map[restrictionKey]RestrictionStatus {
	out := make(map[restrictionKey]RestrictionStatus)
	for _, r := range restrictionStatuses(v) {
		out[restrictionKey{r.Kind, r.Name}] = r
	}
	return out
}

// watch streams events as server-sent events until the client leaves. The
// first events give the current rollouts.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	if _, err := s.authenticate(r, RoleViewer); err != nil {
		s.fail(w, r, err)
		return
	}
	joining := &watcher{events: ring.New[Event](watcherEvents), gone: r.Context().Done()}
	if !s.watchers.Offer(joining) {
		s.fail(w, r, errs.New(errs.Exhausted, "retry later or watch another process", "this process takes no further watchers"))
		return
	}
	s.count(r.Context(), "GET "+watchPath, http.StatusOK)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	// The server's write deadline is meant for short answers.
	_ = out.SetWriteDeadline(time.Time{})
	if s.sendCurrent(w, out) != nil {
		return
	}
	s.stream(r.Context(), w, out, joining)
}

func (s *Server) sendCurrent(w http.ResponseWriter, out *http.ResponseController) error {
	v := s.control.View()
	if !v.HasBundle() {
		return out.Flush()
	}
	for _, status := range rolloutStatuses(v, s.timing) {
		if err := writeEvent(w, Event{Type: EventRollout, At: s.now().UTC(), Epoch: epochOf(v), Rollout: &status}); err != nil {
			return err
		}
	}
	return out.Flush()
}

func (s *Server) stream(ctx context.Context, w http.ResponseWriter, out *http.ResponseController, from *watcher) {
	for {
		e, err := receiveWithin(ctx, from.events, heartbeatInterval)
		switch {
		case err == nil:
			e.Dropped = from.events.Dropped()
			err = writeEvent(w, e)
		case errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil:
			_, err = fmt.Fprint(w, ": heartbeat\n\n")
		}
		if err != nil || out.Flush() != nil {
			return
		}
	}
}

func receiveWithin[T any](ctx context.Context, r *ring.Ring[T], limit time.Duration) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return r.Receive(ctx)
}

func writeEvent(w http.ResponseWriter, e Event) error {
	body, err := json.Marshal(e)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", e.Type, body)
	return err
}

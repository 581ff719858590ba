package daemon

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/admin"
	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/entry"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/operator"
	"waxwingtide.example/waxwingtide/record"
	"waxwingtide.example/waxwingtide/rollout"
	"waxwingtide.example/waxwingtide/settings"
	"waxwingtide.example/waxwingtide/transport"
	"waxwingtide.example/waxwingtide/wire"
)

const roleEntry = "entry"

// RunEntry runs the entry daemon until the context ends. The end of the context
// requests a planned stop, in which the entry finishes its active calls within the
// stop timeout.
func RunEntry(ctx context.Context, s *settings.Entry, deps Deps) error {
	o := &operatorDuties{stateTracker: operator.NewStateTracker()}
	p, err := newProcess(roleEntry, s.Common, deps, o.runDriver)
	if err != nil {
		return err
	}
	if err := o.create(p); err != nil {
		return err
	}
	services, err := p.newServiceHandler()
	if err != nil {
		return err
	}
	e, err := entry.New(entry.Options{
		Node:             s.Node,
		Incarnation:      p.deps.Incarnation,
		FailureDomain:    s.FailureDomain,
		Control:          p.control,
		Dial:             p.dialer.Dial,
		CloseIdle:        p.dialer.CloseIdle,
		RegisterServices: services.Register,
		EntryCount:       func() int { return countLiveEntries(p.control.Members()) },
		Judge:            o.judge,
		StateListener:    o.stateTracker,
		Limits:           s.Limits,
		Routing:          s.Routing,
		Log:              p.log,
		Metrics:          p.metrics,
		Seed:             p.deps.Seed,
	})
	if err != nil {
		return err
	}
	api, err := p.newAdminServer(s, e)
	if err != nil {
		return err
	}
	if err := p.start(p.adminHandler(e.Ready, api)); err != nil {
		return err
	}
	p.group.Go("administration events", api.Events)
	e.Start(p.group)
	callerServer, err := p.serveHTTP("callers", p.deps.CallerListener, s.Callers, e.Handler(), p.callerLimits)
	if err != nil {
		return err
	}
	p.log.WithFields(logrus.Fields{"event": "start", "node": s.Node, "failure_domain": s.FailureDomain}).Info("entry started")
	return p.waitAndStop(ctx, func(ctx context.Context) {
		e.Drain(ctx)
		if err := callerServer.Drain(ctx); err != nil {
			p.log.WithFields(logrus.Fields{"event": "drain", "node": s.Node}).WithError(err).Warn("drain did not finish; active calls are interrupted")
		}
	})
}

// newAdminServer creates the administration API.
func (p *process) newAdminServer(s *settings.Entry, e *entry.Entry) (*admin.Server, error) {
	tokens := make([]admin.Token, len(s.Administration.Users))
	for i, u := range s.Administration.Users {
		role, err := admin.ParseRole(u.Role)
		if err != nil {
			return nil, err
		}
		tokens[i] = admin.Token{Name: u.Name, Role: role, SHA256: u.TokenSHA256}
	}
	var notices *admin.Notices
	if s.Administration.Webhook != "" {
		notices = admin.NewNotices(admin.NoticeOptions{
			URL: s.Administration.Webhook, Node: s.Node, Table: p.control.Table(), Log: p.log,
		})
		p.duties = append(p.duties, namedDuty{"notices", notices.Run})
	}
	return admin.New(admin.Options{
		Node:    s.Node,
		Control: &adminControl{Control: p.control, upstreamLoads: e.Loads},
		Objects: p.objects,
		Tokens:  tokens,
		Timing:  rollout.DefaultTiming(),
		Log:     p.log,
		Meter:   p.metrics.Meter("admin"),
		Notices: notices,
		Notifies: func() bool {
			_, held := p.control.HeldFence()
			return held
		},
	})
}

// newServiceHandler creates the handler of calls to plain services.
func (p *process) newServiceHandler() (*record.Handler, error) {
	return record.NewHandler(record.HandlerOptions{
		AgentClient: callSender{p.dialer},
		View:        func() *facts.View { return p.control.View() },
		SenderIdentity: func() *wire.Sender {
			return &wire.Sender{
				Node: string(p.common.Node), Incarnation: uint64(p.deps.Incarnation), Epoch: uint64(p.control.Epoch()),
			}
		},
		Meter: p.metrics.Meter("record"),
	})
}

// callSender sends calls to plain services over the inner protocol.
type callSender struct{ dialer *transport.Dialer }

// Call implements record.AgentClient. It returns errs.Unavailable only after a failure
// to connect, when the request was certainly not sent. It closes the idle connections to an
// agent that rejects the call because it is draining, since the agent may be stopping.
func (s callSender) Call(ctx context.Context, u *bundle.Upstream, req *wire.CallRequest) (*wire.CallReply, error) {
	reply, err := wire.NewDRPCAgentClient(s.dialer.Dial(ctx, u.Agent)).Call(ctx, req)
	if err == nil {
		if reply.GetReason() == wire.RejectReason_REJECT_DRAINING {
			s.dialer.CloseIdle(u.Agent)
		}
		return reply, nil
	}
	var typedErr *errs.Error
	if errors.As(err, &typedErr) && typedErr.Kind == errs.Unavailable {
		return nil, err
	}
	return nil, errs.Wrap(err, errs.Unknown, "retry with the same idempotency key", "no reply from the agent of %s", u.ID)
}

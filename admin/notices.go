package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/httplimit"
	"waxwingtide.example/waxwingtide/ring"
	"waxwingtide.example/waxwingtide/rollout"
	"waxwingtide.example/waxwingtide/stores"
)

// Notice is the body that is posted to the webhook.
type Notice struct {
	// ID is the same for every post of one event.
	ID string `json:"id"`
	// Type is rollout_completed or rollout_withdrawn.
	Type   string             `json:"type"`
	Model  core.ModelID       `json:"model"`
	From   core.WeightVersion `json:"from"`
	To     core.WeightVersion `json:"to"`
	Epoch  core.Epoch         `json:"epoch"`
	Reason string             `json:"reason,omitempty"`
	At     time.Time          `json:"at"`
}

// Types of notice.
const (
	NoticeCompleted = "rollout_completed"
	NoticeWithdrawn = "rollout_withdrawn"
)

// newNotice returns the notice of a rollout in a final state. Its id names the
// rollout by versions and deadline, because the bundle may change meanwhile.
func newNotice(status RolloutStatus, v *facts.View, now time.Time) (Notice, bool) {
	n := Notice{Model: status.Model, From: status.From, To: status.To, Epoch: v.Head.Epoch, Reason: status.Reason, At: now}
	switch status.Phase {
	case rollout.PhaseDone:
		n.Type = NoticeCompleted
	case rollout.PhaseWithdrawn:
		n.Type = NoticeWithdrawn
	default:
		return n, false
	}
	n.ID = fmt.Sprintf("%s/%s@%s/from=%s/deadline=%d", n.Type, n.Model, n.To, n.From, status.Plan.Deadline.Unix())
	return n, true
}

const (
	// noticeQueue bounds the notices that wait while the webhook or the table
	// does not answer; the oldest are dropped and counted.
	noticeQueue = 256
	// noticeTries is how often a notice is posted before it is given up.
	noticeTries = 6
	// noticeTimeout bounds one post.
	noticeTimeout = 5 * time.Second
	// noticeClaim is how long a claim holds; it exceeds the time of all tries,
	// so that a second process takes over only after the first has ended.
	noticeClaim = 3 * time.Minute
	// noticePartition holds the claims in the table.
	noticePartition = "notice"
)

// NoticeOptions are the parts of the notices duty.
type NoticeOptions struct {
	// URL is the webhook.
	URL   string
	Node  core.NodeID
	Table stores.Table
	Log   logrus.FieldLogger
	// Client posts; nil means a client with a time limit and no redirects.
	Client *http.Client
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Retry is the first pause between tries; 0 means one second.
	Retry time.Duration
}

// Notices posts each completed or withdrawn rollout to a webhook once. A claim
// in the table keeps two processes from posting the same event. A process that
// ends between a post and its record leads to a second post with the same id.
type Notices struct {
	o    NoticeOptions
	ring *ring.Ring[Notice]
}

// NewNotices returns the notices duty.
func NewNotices(o NoticeOptions) *Notices {
	if o.Client == nil {
		o.Client = newWebhookClient()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Retry == 0 {
		o.Retry = time.Second
	}
	return &Notices{o: o, ring: ring.New[Notice](noticeQueue)}
}

func newWebhookClient() *http.Client {
	client := httplimit.NewClient()
	client.Timeout = noticeTimeout
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return client
}

// Run is the duty. It handles one notice at a time.
func (n *Notices) Run(ctx context.Context) error {
	for {
		notice, err := n.ring.Receive(ctx)
		if err != nil {
			return err
		}
		n.deliver(ctx, notice)
	}
}

// claimState is the value of a claim's row.
type claimState struct {
	Node  core.NodeID `json:"node"`
	Until time.Time   `json:"until"`
	// Result is empty while the claim is open.
	Result string `json:"result,omitempty"`
}

// Results of a notice.
const (
	resultPosted  = "posted"
	resultGivenUp = "given_up"
)

func (n *Notices) deliver(ctx context.Context, notice Notice) {
	log := n.o.Log.WithFields(logrus.Fields{"event": "notice", "id": notice.ID})
	err := n.Handle(ctx, notice)
	switch {
	case ctx.Err() != nil:
		log.Info("notice left to another process")
	case err != nil:
		log.WithError(err).Error("notice given up")
	}
}

// Handle posts one notice unless it has been handled before. It returns an
// error of kind Unavailable after the last try. When the context ends first,
// the claim expires and another process takes over.
func (n *Notices) Handle(ctx context.Context, notice Notice) error {
	row, err := n.claim(ctx, notice)
	if errors.Is(err, errHandled) {
		return nil
	}
	if err != nil {
		return err
	}
	err = n.post(ctx, notice)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	result := resultPosted
	if err != nil {
		result = resultGivenUp
	} else {
		n.o.Log.WithFields(logrus.Fields{"event": "notice_posted", "id": notice.ID, "type": notice.Type}).Info("notice posted")
	}
	n.finish(ctx, row, result)
	return err
}

// claim waits until the table answers, because a post without a claim could be
// a second one, and until another process's claim ends or expires. It returns
// errHandled when the notice has been handled.
func (n *Notices) claim(ctx context.Context, notice Notice) (stores.Row, error) {
	return retry(ctx, n.backoff(), 0, func() (stores.Row, error) { return n.tryClaim(ctx, notice) })
}

var (
	errTaken   = errs.New(errs.Conflict, "wait for its result", "another process has the notice")
	errHandled = errs.New(errs.Conflict, "do nothing", "the notice has been handled")
)

func (n *Notices) tryClaim(ctx context.Context, notice Notice) (stores.Row, error) {
	row, err := n.o.Table.Get(ctx, stores.Key{Partition: noticePartition, Sort: notice.ID})
	if err != nil {
		return row, err
	}
	if row.Version > 0 {
		var held claimState
		if err := json.Unmarshal(row.Value, &held); err != nil {
			return row, backoff.Permanent(errs.Wrap(err, errs.Corrupt, "remove the row", "claim of notice %s cannot be read", notice.ID))
		}
		if held.Result != "" {
			return row, backoff.Permanent(errHandled)
		}
		if held.Node != n.o.Node && n.o.Now().Before(held.Until) {
			return row, errTaken
		}
	}
	return n.write(ctx, row, claimState{Node: n.o.Node, Until: n.o.Now().Add(noticeClaim)})
}

// write stores a claim's state and returns the row as it is then.
func (n *Notices) write(ctx context.Context, row stores.Row, state claimState) (stores.Row, error) {
	value, err := json.Marshal(state)
	if err != nil {
		return row, backoff.Permanent(err)
	}
	operation := fmt.Sprintf("notice/%s/%s/%d/%s", row.Key.Sort, n.o.Node, row.Version, state.Result)
	err = n.o.Table.Transact(ctx, operation, []stores.Write{{Key: row.Key, ExpectedVersion: row.Version, Value: value}})
	row.Version++
	row.Value = value
	return row, err
}

func (n *Notices) finish(ctx context.Context, row stores.Row, result string) {
	state := claimState{Node: n.o.Node, Until: n.o.Now(), Result: result}
	_, err := retry(ctx, n.backoff(), noticeTries, func() (stores.Row, error) { return n.write(ctx, row, state) })
	if err != nil {
		n.o.Log.WithFields(logrus.Fields{"event": "notice_not_recorded", "id": row.Key.Sort}).WithError(err).Warn("result of the notice was not recorded")
	}
}

func (n *Notices) post(ctx context.Context, notice Notice) error {
	body, err := json.Marshal(notice)
	if err != nil {
		return err
	}
	_, err = retry(ctx, n.backoff(), noticeTries, func() (struct{}, error) {
		return struct{}{}, n.postOnce(ctx, notice.ID, body)
	})
	return err
}

func (n *Notices) postOnce(ctx context.Context, id string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, n.o.URL, bytes.NewReader(body))
	if err != nil {
		return backoff.Permanent(errs.Wrap(err, errs.Invalid, "correct the webhook URL in the settings", "notice cannot be posted"))
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderOperation, id)
	response, err := httplimit.Do(n.o.Client, request)
	if err != nil {
		return errs.Wrap(err, errs.Unavailable, "check that the webhook answers", "notice cannot be posted")
	}
	defer func() { _ = response.Body.Close() }()
	// Reading the body also lets the connection be used again.
	if _, err := io.CopyN(io.Discard, response.Body, maxSmallBody); err != nil && !errors.Is(err, io.EOF) {
		return errs.Wrap(err, errs.Unavailable, "check that the webhook answers", "answer of the webhook was cut")
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return errs.New(errs.Unavailable, "check that the webhook accepts the notice", "webhook answered %s", response.Status)
	}
	return nil
}

func (n *Notices) backoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = n.o.Retry
	b.MaxInterval = 30 * n.o.Retry
	return b
}

// retry calls an operation until it succeeds, fails permanently or has been
// tried that often; 0 tries means without bound.
func retry[T any](ctx context.Context, pause backoff.BackOff, tries uint, operation backoff.Operation[T]) (T, error) {
	return backoff.Retry(ctx, operation, backoff.WithBackOff(pause), backoff.WithMaxTries(tries), backoff.WithMaxElapsedTime(0))
}

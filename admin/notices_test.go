package admin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/admin"
	"waxwingtide.example/waxwingtide/admin/admintest"
	"waxwingtide.example/waxwingtide/core"
)

// webhook counts posts and fails the first of them.
type webhook struct {
	fail  int32
	posts atomic.Int32
	ids   chan string
}

func (h *webhook) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var n admin.Notice
	if json.NewDecoder(r.Body).Decode(&n) != nil || n.ID != r.Header.Get(admin.HeaderOperation) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if h.posts.Add(1) <= h.fail {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	h.ids <- n.Type
}

func newNotices(t *testing.T, node core.NodeID, url string, table *admintest.Table) *admin.Notices {
	log := logrus.New()
	log.SetOutput(t.Output())
	return admin.NewNotices(admin.NoticeOptions{URL: url, Node: node, Table: table, Log: log, Retry: time.Millisecond})
}

// Guards against a notice that is lost to a failing webhook or table, and
// against one that two processes post.
func TestNoticeIsPostedOnce(t *testing.T) {
	hook := &webhook{fail: 2, ids: make(chan string, 10)}
	listener := httptest.NewServer(hook)
	defer listener.Close()
	table := new(admintest.Table)
	table.Fail.Store(3)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 4)
	for _, node := range []core.NodeID{"entry-1", "entry-2"} {
		notices := newNotices(t, node, listener.URL, table)
		f := newFixture(t, notices)
		f.signOff(t, document("1", "v1", "v2"))
		_, err := f.client(admin.RoleOperator).Withdraw(t.Context(), "gate", "wrong answers")
		require.NoError(t, err)
		go func() { ended <- f.server.Events(ctx) }()
		go func() { ended <- notices.Run(ctx) }()
	}
	require.Equal(t, admin.NoticeWithdrawn, <-hook.ids)
	// A third process that starts later finds the event handled.
	late := newNotices(t, "entry-3", listener.URL, table)
	require.NoError(t, late.Handle(t.Context(), withdrawn()))
	cancel()
	for range 4 {
		require.ErrorIs(t, <-ended, context.Canceled)
	}
	require.EqualValues(t, 3, hook.posts.Load())
}

func withdrawn() admin.Notice {
	return admin.Notice{ID: "rollout_withdrawn/gate@v2/from=v1/deadline=1780272060", Type: admin.NoticeWithdrawn}
}

// Guards against endless posts to a webhook that never accepts them.
func TestNoticeIsGivenUp(t *testing.T) {
	hook := &webhook{fail: 1000, ids: make(chan string, 10)}
	listener := httptest.NewServer(hook)
	defer listener.Close()
	table := new(admintest.Table)
	for _, node := range []core.NodeID{"entry-1", "entry-2"} {
		_ = newNotices(t, node, listener.URL, table).Handle(t.Context(), withdrawn())
	}
	require.EqualValues(t, 6, hook.posts.Load())
}

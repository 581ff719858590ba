package sharing_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/waitlist/backlog"
)

// recordBacklogs makes all processes but the silent ones record that they run 10 tokens, for a
// time.
func (c *cluster) recordBacklogs(duration time.Duration, silent ...string) {
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for _, name := range c.names {
			s := backlog.Summary{Fronts: 1, Classes: []backlog.Class{{Service: "model", OtherRunning: 10, OtherWorkspaces: 1}}}
			if len(silent) == 0 || name != silent[0] {
				c.process(name).RecordBacklog(s)
			}
		}
	}
}

// runningAtOthers returns the running work that a process has last received, and whether it has
// received any.
func (c *cluster) runningAtOthers(name string) (int, bool) {
	s, ok := c.process(name).RemoteBacklog().TryReceive()
	return s.Running("model"), ok
}

// Guards against fronts that count their own work, count that of others twice or not at all,
// and against the work of a front that has stopped sending, which is counted for longer than
// a TTL and four pauses between exchanges.
func TestBacklogsAreAddedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, processNames...)
		c.recordBacklogs(2 * time.Second)
		for _, name := range processNames {
			running, ok := c.runningAtOthers(name)
			require.True(t, ok)
			require.Equal(t, 10*(len(processNames)-1), running, name)
		}
		c.recordBacklogs(1300*time.Millisecond, "west-3")
		for _, name := range []string{"west-1", "west-2", "east-2", "north-1"} {
			running, _ := c.runningAtOthers(name)
			require.Equal(t, 10*(len(processNames)-2), running, name)
		}
	})
}

// Guards against work that is lost, or counted twice for long, after a collector has failed.
func TestBacklogsAfterLossOfCollector(t *testing.T) {
	for _, isolated := range []string{"west-1", "east-1"} {
		t.Run(isolated, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, processNames...)
				c.recordBacklogs(time.Second)
				c.isolated[isolated].Store(true)
				c.recordBacklogs(3 * time.Second)
				for _, name := range []string{"west-2", "east-2", "north-1"} {
					running, ok := c.runningAtOthers(name)
					require.True(t, ok)
					require.Equal(t, 10*(len(processNames)-2), running, name)
				}
			})
		})
	}
}

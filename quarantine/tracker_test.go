package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/quarantine"
)

// start is later than the warm-up of trackers that are created at epoch.
var (
	epoch = time.Unix(1_800_000_000, 0)
	start = epoch.Add(20 * time.Second)
)

// settled is the time after which complete evidence takes effect.
const settled = time.Second

// cluster is a group of trackers that exchange their evidence.
type cluster struct {
	names    []core.NodeID
	trackers map[core.NodeID]*quarantine.Tracker
	now      time.Time
	crashes  int
}

func newCluster(names ...core.NodeID) *cluster {
	c := &cluster{names: names, trackers: make(map[core.NodeID]*quarantine.Tracker), now: start}
	for _, name := range names {
		c.trackers[name] = quarantine.New(name, epoch)
		c.trackers[name].SetFronts(names)
	}
	return c
}

// exchange lets time pass and delivers all evidence to the other trackers.
func (c *cluster) exchange(pass time.Duration) {
	const step = 100 * time.Millisecond
	for end := c.now.Add(pass); c.now.Before(end); c.now = c.now.Add(step) {
		for _, from := range c.names {
			sent := c.trackers[from].TakeOutgoing()
			for _, to := range c.names {
				if to != from {
					c.trackers[to].Merge(c.now, sent)
				}
			}
		}
		for _, name := range c.names {
			c.trackers[name].Evaluate(c.now)
		}
	}
}

func prompt(own string, shared ...string) core.Prompt {
	p := core.Prompt{Model: "m"}
	for _, id := range append(shared, own) {
		p.Parts = append(p.Parts, core.Part{ID: core.PartID(id), Tokens: 10})
	}
	return p
}

// crash reports the crash of a new upstream with suspects at one front.
func (c *cluster) crash(front core.NodeID, suspects ...core.Prompt) {
	c.crashes++
	incarnation := quarantine.Incarnation{Upstream: core.UpstreamID(fmt.Sprint("u-", c.crashes)), StartedAtMs: 1}
	for _, p := range suspects {
		c.trackers[front].RecordEnd(c.now, quarantine.AttemptEnd{Incarnation: incarnation, Prompt: p, Broken: true})
	}
	c.trackers[front].ConfirmCrash(c.now, incarnation)
}

func (c *cluster) answer(front core.NodeID, p core.Prompt) {
	c.trackers[front].RecordEnd(c.now, quarantine.AttemptEnd{Prompt: p, Completed: true})
}

func (c *cluster) refused(front core.NodeID, p core.Prompt) bool {
	return c.trackers[front].Check(c.now, p, false).Refused
}

// Guards against a part that is not found because each front has seen only one of its
// crashes, and against the quarantine of the parts that its calls share with sound
// ones.
func TestPartIsFoundByAllFrontsTogether(t *testing.T) {
	c := newCluster("a", "b", "c")
	for i, name := range c.names {
		c.crash(name, prompt(fmt.Sprint("own-", i), "common", "history", "bad"), prompt(fmt.Sprint("victim-", i), "common", "other"))
		c.answer(c.names[(i+1)%3], prompt("own", "common"))
		c.exchange(200 * time.Millisecond)
	}
	c.exchange(settled)
	for _, name := range c.names {
		require.True(t, c.refused(name, prompt("new", "common", "history", "bad")), name)
		require.False(t, c.refused(name, prompt("new", "common", "history")), name)
		require.False(t, c.refused(name, prompt("new", "common", "other")), name)
	}
}

// Guards against a single prompt whose repeats look like several prompts with the same
// parts.
func TestRepeatsOfOnePromptAreNotEnough(t *testing.T) {
	c := newCluster("a", "b")
	for range 5 {
		c.crash("a", prompt("own", "common", "history"))
		c.exchange(100 * time.Millisecond)
	}
	c.exchange(settled)
	require.False(t, c.refused("a", prompt("new", "common", "history")))
}

// Guards against waiting for a third prompt while the repeats of two crash one upstream
// after the other.
func TestRepeatsOfTwoPromptsAreEnough(t *testing.T) {
	c := newCluster("a", "b")
	for range 2 {
		c.crash("a", prompt("own-1", "common", "history", "bad"))
		c.crash("b", prompt("own-2", "common", "history", "bad"))
		c.answer("a", prompt("own", "common"))
		c.exchange(200 * time.Millisecond)
	}
	c.exchange(settled)
	require.False(t, c.refused("a", prompt("new", "common", "history", "bad")))
	c.crash("b", prompt("own-2", "common", "history", "bad"))
	c.exchange(settled)
	require.True(t, c.refused("a", prompt("new", "common", "history", "bad")))
	require.False(t, c.refused("b", prompt("new", "common", "history")))
	require.False(t, c.refused("b", prompt("new", "common")))
}

// Guards against the quarantine of a sound part that many prompts share, when many
// upstreams fail at once and nothing is answered for a while.
func TestOutageDoesNotQuarantineCommonPart(t *testing.T) {
	c := newCluster("a", "b", "c")
	for i := range 50 {
		c.answer("a", prompt(fmt.Sprint("own-", i), "common"))
	}
	c.exchange(300 * time.Millisecond)
	for i := range 12 {
		c.crash(c.names[i%3], prompt(fmt.Sprint("own-", i), "common"), prompt(fmt.Sprint("more-", i), "common"))
	}
	for range 30 {
		c.exchange(100 * time.Millisecond)
		require.False(t, c.refused("a", prompt("new", "common")))
		require.False(t, c.refused("c", prompt("new", "common")))
	}
	c.answer("b", prompt("own", "common"))
	c.exchange(settled)
	require.False(t, c.refused("c", prompt("new", "common")))
}

// Guards against a part that was answered before it became bad and is never found,
// and against a process that takes parts for unused because it has just started.
func TestAnsweredPartNeedsMoreEvidence(t *testing.T) {
	c := newCluster("a", "b")
	c.answer("a", prompt("old", "bad"))
	c.exchange(200 * time.Millisecond)
	for i := range 8 {
		c.crash("b", prompt(fmt.Sprint("own-", i), "bad"))
		for j := range 10 {
			c.answer("a", prompt(fmt.Sprint("sound-", i, j), "other"))
			c.answer("b", prompt(fmt.Sprint("sound-", i, j), "other"))
		}
		c.exchange(300 * time.Millisecond)
		if i < 4 {
			require.False(t, c.refused("b", prompt("new", "bad")))
		}
	}
	c.exchange(settled)
	require.True(t, c.refused("a", prompt("new", "bad")))
	require.True(t, c.refused("b", prompt("new", "bad")))
}

// quarantineBad puts the part "bad" in quarantine at all fronts.
func (c *cluster) quarantineBad(t *testing.T) {
	for i := range 3 {
		c.crash(c.names[0], prompt(fmt.Sprint("own-", i), "bad"))
	}
	c.exchange(settled)
	for _, name := range c.names {
		require.True(t, c.refused(name, prompt("new", "bad")))
	}
}

// Guards against a sound part that is never cleared, and against more than one trial
// at a time.
func TestTrialReleasesSoundPart(t *testing.T) {
	c := newCluster("a", "b", "c")
	c.quarantineBad(t)
	trials := map[core.NodeID]int{}
	for range 600 {
		for _, name := range c.names {
			if c.trackers[name].Check(c.now, prompt("new", "bad"), false).Trial {
				trials[name]++
				c.answer(name, prompt("new", "bad"))
			}
		}
		c.exchange(100 * time.Millisecond)
	}
	require.Len(t, trials, 1)
	for name, n := range trials {
		require.Equal(t, 1, n, name)
	}
	for _, name := range c.names {
		require.False(t, c.refused(name, prompt("new", "bad")), name)
	}
}

// Guards against trials that crash upstreams again and again.
func TestFailedTrialsBecomeRare(t *testing.T) {
	c := newCluster("a", "b", "c")
	c.quarantineBad(t)
	trials := 0
	for range 6000 { // ten minutes
		for _, name := range c.names {
			if c.trackers[name].Check(c.now, prompt("new", "bad"), false).Trial {
				trials++
				c.crash(name, prompt("new", "bad"))
			}
			c.trackers[name].Sweep(c.now)
		}
		c.exchange(100 * time.Millisecond)
	}
	require.InDelta(t, 4, trials, 1)
	require.True(t, c.refused("a", prompt("new", "bad")))
}

// Guards against a process that forgets a quarantine with a restart, and against a
// stale process that brings back a quarantine that was released.
func TestStatesSpreadToStartedProcesses(t *testing.T) {
	c := newCluster("a", "b", "c")
	c.quarantineBad(t)
	c.trackers["b"] = quarantine.New("b", c.now)
	c.trackers["b"].SetFronts(c.names)
	c.trackers["a"].Sweep(c.now)
	c.exchange(200 * time.Millisecond)
	require.True(t, c.refused("b", prompt("new", "bad")))

	c.answer("a", prompt("late", "bad"))
	c.trackers["c"].Sweep(c.now)
	stale := c.trackers["c"].TakeOutgoing()
	c.exchange(200 * time.Millisecond)
	c.trackers["a"].Merge(c.now, stale)
	c.exchange(200 * time.Millisecond)
	for _, name := range c.names {
		require.False(t, c.refused(name, prompt("new", "bad")), name)
	}
}

// Guards against a repeat that crashes a further upstream although its prompt is
// nearly proved to be the cause.
func TestImplicatedCallIsNotRepeated(t *testing.T) {
	c := newCluster("a")
	c.crash("a", prompt("own-1", "bad"))
	c.crash("a", prompt("own-2", "bad"))
	c.exchange(100 * time.Millisecond)
	require.True(t, c.trackers["a"].Check(c.now, prompt("own-2", "bad"), true).Refused)
	require.False(t, c.trackers["a"].Check(c.now, prompt("own-3", "bad"), false).Refused)
}

// Guards against state and messages that grow with the number of crashes and parts,
// and against a flood of sound crashes that quarantines parts at random.
func TestStateIsBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	c := newCluster("a", "b")
	for i := range 200 {
		var suspects []core.Prompt
		for j := range 100 {
			suspects = append(suspects, prompt(fmt.Sprint("own-", i, j), fmt.Sprint("common-", random.IntN(4)), fmt.Sprint("history-", random.IntN(100_000))))
		}
		c.crash("a", suspects...)
		for common := range 4 {
			c.answer("b", prompt("own", fmt.Sprint("common-", common)))
		}
		sent := c.trackers["a"].TakeOutgoing()
		for _, crash := range sent.Crashes {
			require.LessOrEqual(t, len(crash.Suspects), 64)
		}
		c.trackers["b"].Merge(c.now, sent)
		c.trackers["a"].Sweep(c.now)
		c.exchange(100 * time.Millisecond)
	}
	require.Empty(t, c.trackers["a"].States())
	require.Empty(t, c.trackers["b"].States())
}

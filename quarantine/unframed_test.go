package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/quarantine"
)

// sound is the upstream of unframed answers that does not crash.
var sound = quarantine.Incarnation{Upstream: "sound", StartedAtMs: 1}

// answerUnframed records a short answer that ended with its connection at an upstream
// that still accepts connections.
func (c *cluster) answerUnframed(front core.NodeID, p core.Prompt) {
	tracker := c.trackers[front]
	end := quarantine.AttemptEnd{Incarnation: sound, Prompt: p, Completed: true, Unframed: true, AnswerAge: 100 * time.Millisecond}
	if tracker.RecordEnd(c.now, end) {
		tracker.DismissCrash(c.now, sound)
	}
}

// Guards against the quarantine of the part that all prompts share where all answers end
// with their connections, since such answers do not clear it.
func TestUnframedAnswersClearSharedPart(t *testing.T) {
	c := newCluster("a", "b", "c")
	for i := range 4 {
		c.crash(c.names[i%3], prompt(fmt.Sprint("own-", i), "common"), prompt(fmt.Sprint("victim-", i), "common"))
		c.answerUnframed(c.names[(i+1)%3], prompt("own", "common"))
		c.exchange(200 * time.Millisecond)
	}
	c.exchange(settled)
	for _, name := range c.names {
		require.False(t, c.refused(name, prompt("new", "common")), name)
	}
}

// Guards against a quarantine that continues although the answer to its trial was
// complete, because it ended with its connection.
func TestUnframedAnswerToTrialEndsQuarantine(t *testing.T) {
	c := newCluster("a", "b", "c")
	c.quarantineBad(t)
	for range 600 {
		for _, name := range c.names {
			if c.trackers[name].Check(c.now, prompt("new", "bad"), false).Trial {
				c.answerUnframed(name, prompt("new", "bad"))
			}
		}
		c.exchange(100 * time.Millisecond)
	}
	for _, name := range c.names {
		require.False(t, c.refused(name, prompt("new", "bad")), name)
	}
}

// Guards against an unframed answer that is lost because the check of its upstream never
// gave a result.
func TestUnframedAnswerCountsWithoutResultOfCheck(t *testing.T) {
	c := newCluster("a")
	c.quarantineBad(t)
	c.trackers["a"].RecordEnd(c.now, quarantine.AttemptEnd{Incarnation: sound, Prompt: prompt("new", "bad"), Completed: true, Unframed: true})
	c.exchange(2 * time.Second)
	c.trackers["a"].Sweep(c.now)
	require.False(t, c.refused("a", prompt("new", "bad")))
}

// Guards against answers that only look complete because their upstream crashed, and that
// clear the part on which it crashed.
func TestUnframedAnswersOfCrashesDoNotClear(t *testing.T) {
	c := newCluster("a", "b", "c")
	for i := range 3 {
		incarnation := quarantine.Incarnation{Upstream: core.UpstreamID(fmt.Sprint("crashed-", i)), StartedAtMs: 1}
		end := quarantine.AttemptEnd{
			Incarnation: incarnation, Prompt: prompt(fmt.Sprint("own-", i), "bad"), Completed: true, Unframed: true, AnswerAge: 100 * time.Millisecond,
		}
		require.True(t, c.trackers["a"].RecordEnd(c.now, end))
		c.trackers["a"].ConfirmCrash(c.now, incarnation)
		c.exchange(200 * time.Millisecond)
	}
	c.exchange(settled)
	require.True(t, c.refused("b", prompt("new", "bad")))
}

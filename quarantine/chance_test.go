package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/core"
)

// Guards against the quarantine of a part that a tenth of the calls have, after ordinary
// crashes while by chance only other calls are answered.
func TestMissingAnswersByChanceAreNoEvidence(t *testing.T) {
	c := newCluster("a")
	for i := range 100 {
		c.answer("a", prompt(fmt.Sprint("sound-", i), fmt.Sprint("tenth-", i%10)))
	}
	c.exchange(200 * time.Millisecond)
	for i := range 12 {
		suspects := []core.Prompt{prompt(fmt.Sprint("victim-", i), "tenth-1"), prompt(fmt.Sprint("more-", i), "tenth-2"), prompt(fmt.Sprint("last-", i), "tenth-3")}
		if i%2 == 0 {
			suspects = append(suspects, prompt(fmt.Sprint("own-", i), "tenth-0"))
		}
		c.crash("a", suspects...)
		for j := range 3 {
			c.answer("a", prompt(fmt.Sprint("answered-", i, "-", j), fmt.Sprint("tenth-", j+1)))
		}
		c.exchange(200 * time.Millisecond)
	}
	c.exchange(settled)
	require.False(t, c.refused("a", prompt("new", "tenth-0")))
}

// Guards against the quarantine of a part that is new, and that occurs in some of many
// ordinary crashes.
func TestPartOfSomeCrashesDoesNotStandOut(t *testing.T) {
	c := newCluster("a")
	for i := range 9 {
		parts := "other"
		if i%4 == 0 {
			parts = "some"
		}
		c.crash("a", prompt(fmt.Sprint("own-", i), parts))
		c.answer("a", prompt("answered", "other"))
		c.exchange(200 * time.Millisecond)
	}
	c.exchange(settled)
	require.False(t, c.refused("a", prompt("new", "some")))
}

package sharing_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/placement/links"
)

// playLinkDelays records the same observation of a link at each process for a time, and returns the last
// sums that the processes have received within its last part.
func (c *cluster) playLinkDelays(length, lastPart time.Duration) map[string]float64 {
	sums := make(map[string]float64)
	for at := time.Duration(0); at < length; at += 100 * time.Millisecond {
		for _, name := range c.names {
			c.process(name).RecordLinkDelays([]links.Delays{{Link: 7, Transfers: 1, DelayMs: 100}})
			if delays, ok := c.process(name).RemoteLinkDelays().TryReceive(); ok && at >= length-lastPart {
				sums[name] = delays[0].DelayMs
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return sums
}

// Guards against fronts that do not know what all others have observed of links, count a front twice,
// or count one that is cut off, whether or not it collects.
func TestLinkDelaysReachAllProcesses(t *testing.T) {
	for _, lost := range []string{"east-1", "west-1", "west-2"} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, processNames...)
			for name, sum := range c.playLinkDelays(4*time.Second, time.Second) {
				require.InDelta(t, 600, sum, 1, name)
			}
			c.isolated[lost].Store(true)
			sums := c.playLinkDelays(5*time.Second, time.Second)
			require.Len(t, sums, len(processNames)-1, "a process that is cut off receives nothing")
			for name, sum := range sums {
				require.InDelta(t, 500, sum, 1, "%s without %s", name, lost)
			}
		})
	}
}

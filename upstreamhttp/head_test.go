package upstreamhttp

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/membudget"
)

// Guards against heads of many short lines that need more memory than is charged for them,
// and against bytes of a body that are charged as headers, in whatever pieces they arrive.
func TestHeadIsChargedToItsEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nA: b\r\nC: d\r\n\r\n"
	const want = parsedBytesFactor*len(head) + parsedLineBytes*4
	text := head + strings.Repeat("\n", 1000)
	for piece := 1; piece <= len(text); piece++ {
		budget := membudget.New("heads", 1<<20)
		m := headMeter{memory: budget.Open()}
		for rest := text; rest != ""; {
			n := min(piece, len(rest))
			require.NoError(t, m.add([]byte(rest[:n])))
			rest = rest[n:]
		}
		require.EqualValues(t, want, budget.UsedBytes(), "pieces of %d bytes", piece)
	}
}

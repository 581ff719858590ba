package cli_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/cli"
	"waxwingtide.example/waxwingtide/httplimit"
	"waxwingtide.example/waxwingtide/standin"
)

// Guards against an operator's machine that keeps the bytes of a head without end until it
// runs out of memory.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	for form, answer := range standin.EndlessHeads(16*httplimit.MaxHeadBytes, "{}") {
		t.Run(form, func(t *testing.T) {
			server, err := standin.StartEndless(answer)
			require.NoError(t, err)
			defer server.Close()
			o := newOperator(t)
			t.Setenv(cli.EnvServer, "http://"+server.Address())
			r := o.run("status")
			require.NotZero(t, r.status)
			require.Contains(t, r.err, "exceeded")
			<-server.Closed()
		})
	}
}

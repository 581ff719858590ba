package record_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/httplimit"
	"waxwingtide.example/waxwingtide/record"
	"waxwingtide.example/waxwingtide/standin"
)

// Guards against an agent that keeps the bytes of a head without end until its machine
// runs out of memory.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	for form, answer := range standin.EndlessHeads(16*httplimit.MaxHeadBytes, "lot 7") {
		t.Run(form, func(t *testing.T) {
			server, err := standin.StartEndless(answer)
			require.NoError(t, err)
			defer server.Close()
			client, err := record.NewServiceClient("http://" + server.Address())
			require.NoError(t, err)
			_, err = get(t, client, "w", "/lots")
			require.ErrorContains(t, err, "exceeded")
			require.Equal(t, errs.Unknown, errs.KindOf(err))
			<-server.Closed()
		})
	}
}

package engine

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/errs"
)

// Guards against server-sent events that make the agent panic, deliver tokens
// out of order or beyond the limit, or pass for a complete answer without
// usage.
func FuzzCompletionEvents(f *testing.F) {
	const good = `data: {"id":"r","model":"m","choices":[{"text":"a"}]}` + "\n\n" +
		`data: {"id":"r","model":"m","choices":[{"text":"","finish_reason":"stop"}],"usage":{"completion_tokens":1}}` + "\n\ndata: [DONE]\n"
	for _, seed := range []string{
		good, ": comment\r\n" + good, "data: [DONE]\n", "data:\n", "data: null\n\n", `data: {"id":"other"}` + "\n", "event: x\ndata: {\n", "",
		`data: {"id":"r","model":"m","choices":[null],"usage":{"completion_tokens":-1}}` + "\ndata:[DONE]\n",
		`data: {"id":"r","model":"m","choices":[{"text":"a"},{"text":"b"},{"text":"c"},{"text":"d"}]}` + "\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		const first, limit = 1, 3
		tokens := 0
		s := completion{
			req: CompletionRequest{RequestID: "r", Model: "m", MaxTokens: limit, ResumeFrom: first}, position: first,
			onToken: func(position int, text string) error {
				require.Equal(t, first+tokens, position)
				require.NotEmpty(t, text)
				tokens++
				return nil
			},
		}
		err := s.read(bytes.NewReader(body))
		require.LessOrEqual(t, first+tokens, limit)
		if err != nil {
			require.True(t, errs.Is(err, errs.Corrupt) || errs.Is(err, errs.Unknown), "%v", err)
			return
		}
		require.Equal(t, tokens, s.usage.CompletionTokens)
		require.NotEmpty(t, s.finishReason)
	})
}

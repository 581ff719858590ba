package entry

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"waxwingtide.example/waxwingtide/bundle"
	"waxwingtide.example/waxwingtide/core"
	"waxwingtide.example/waxwingtide/facts"
	"waxwingtide.example/waxwingtide/security"
	"waxwingtide.example/waxwingtide/stream"
	"waxwingtide.example/waxwingtide/wire"
)

// Guards against request bodies and timeout headers that cause a panic, and against
// requests outside of the limits that are accepted.
func FuzzParsePrompt(f *testing.F) {
	const maxBody = 1 << 10
	index := bundle.NewIndex(&bundle.Bundle{
		Models: []bundle.Model{{ID: "gate", Versions: []core.WeightVersion{"v1"}, Stable: "v1", Adapters: []core.AdapterID{"bajio"}}},
		Workspaces: []bundle.Workspace{{
			ID: "crews", Models: []core.ModelID{"gate", "gone"}, Callers: []bundle.Caller{{ID: "c", KeySHA256: security.HashSecret("key")}},
		}},
	})
	view := &facts.View{Index: index}
	for _, seed := range []string{
		`{"model":"gate+bajio","prompt":"grease","max_tokens":4,"stream":true,"service_tier":"flex"}`,
		`{"model":"gone","prompt":"x"}`, `{"model":"gate","prompt":["x"]}`, `{"model":"gate","prompt":"x","max_tokens":1e30}`,
		`{"model":"gate","prompt":"x","max_tokens":-1}`, `{"model":"gate+","prompt":""}`, `null`, `[]`, "{\"prompt\":\"\xff\"}", "",
	} {
		f.Add([]byte(seed), "1000")
	}
	f.Add([]byte(`{"model":"gate","prompt":"x"}`), "99999999999999999999")
	f.Add([]byte(`{"model":"gate","prompt":"x"}`), "9223372036854775807")
	f.Fuzz(func(t *testing.T, body []byte, timeout string) {
		r := httptest.NewRequest(http.MethodPost, "/v1/completions", bytes.NewReader(body))
		r.Header.Set("Authorization", "Bearer key")
		r.Header.Set(timeoutHeader, timeout)
		p, errResp := parsePrompt(r, time.Unix(0, 0), view, maxBody, time.Second)
		if errResp != nil {
			require.Nil(t, p)
			require.Contains(t, []int{http.StatusBadRequest, http.StatusRequestEntityTooLarge}, errResp.Status)
			return
		}
		require.LessOrEqual(t, len(body), maxBody)
		require.NotEmpty(t, p.Prompt.Text)
		require.Equal(t, core.ModelID("gate"), p.Prompt.Model)
		require.Contains(t, []core.AdapterID{"", "bajio"}, p.adapter)
		require.True(t, p.Prompt.MaxOutputTokens >= 1 && p.Prompt.MaxOutputTokens <= maxTokensLimit)
		timeLeft := p.Deadline.Sub(p.ReceivedAt)
		require.True(t, timeLeft >= time.Millisecond && timeLeft <= maxTimeout)
	})
}

// Guards against frames that cause a panic, deliver a token after the end or out of
// sequence, or complete a response with missing tokens. The input consists of frames of
// two attempts. Before each frame, there is one byte with its length.
func FuzzFrames(f *testing.F) {
	encode := func(frames ...*wire.Frame) (out []byte) {
		for _, frame := range frames {
			body, err := proto.Marshal(frame)
			require.NoError(f, err)
			out = append(append(out, byte(len(body))), body...)
		}
		return out
	}
	token := func(seq uint64, position uint32) *wire.Frame {
		return &wire.Frame{Attempt: "a", Seq: seq, Body: &wire.Frame_Token{Token: &wire.Token{Position: position, Text: "t"}}}
	}
	end := &wire.Frame{Attempt: "a", Seq: 2, Body: &wire.Frame_End{End: &wire.End{Frames: 2, Tokens: 2, PromptTokens: 1, CachedTokens: 1 << 31}}}
	f.Add(encode(token(0, 0), token(1, 1), end))
	f.Add(encode(token(0, 0), token(0, 0), end, end, token(3, 2)))
	f.Add(encode(&wire.Frame{Attempt: "b"}, token(0, 1<<31), end))
	f.Add(encode(&wire.Frame{Attempt: "b", Body: &wire.Frame_Reject{}}, &wire.Frame{Attempt: "a", Body: &wire.Frame_Failure{Failure: &wire.Failure{Tokens: 9}}}))
	f.Add(encode(&wire.Frame{Attempt: "a", Body: &wire.Frame_Token{}}, &wire.Frame{Attempt: "a", Seq: 1, Body: &wire.Frame_End{}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		response := stream.NewResponse()
		response.AddAttempt("a")
		response.AddAttempt("b")
		delivered := uint32(0)
		for len(data) > 0 {
			n := min(int(data[0]), len(data)-1)
			var frame wire.Frame
			err := proto.Unmarshal(data[1:1+n], &frame)
			data = data[1+n:]
			if err != nil {
				continue
			}
			completeBefore := response.Complete()
			result := response.Accept(convertFrame(&frame))
			switch result.Verdict {
			case stream.VerdictDeliver:
				require.False(t, completeBefore)
				require.Equal(t, delivered, frame.GetToken().GetPosition())
				delivered++
			case stream.VerdictComplete:
				require.False(t, completeBefore)
				require.Equal(t, delivered, frame.GetEnd().GetTokens())
				require.NotNil(t, newUsage(frame.GetEnd()))
				require.GreaterOrEqual(t, cachedBlocks(frame.GetEnd(), 1<<22), 0)
			}
			require.Equal(t, delivered, response.Position())
		}
	})
}

package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"waxwingtide.example/waxwingtide/errs"
)

// Limits on a streamed completion.
const (
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 64 << 10
	// maxStreamBytes bounds a stream, comments and empty lines included.
	maxStreamBytes = 256 << 20
	// maxTokenBytes bounds the text of one token. The entry keeps the text of an answer
	// that is no stream, of up to 32,768 tokens. The longest tokens in use have some
	// hundred bytes.
	maxTokenBytes = 1 << 10
)

var (
	dataPrefix = []byte("data:")
	doneMark   = []byte("[DONE]")
)

// Complete runs a completion and calls onToken for each output token in order;
// the position counts from the start of the whole answer, so the first one is
// req.ResumeFrom. Each streamed event carries one token. An error of onToken
// ends the stream and is returned unchanged. Closing the connection cancels
// the run.
//
// The result is complete only when the error is nil: the stream ended with
// "[DONE]", every event belonged to this request and the engine's count of
// tokens matches those received.
func (c *Client) Complete(
	ctx context.Context, req CompletionRequest, onToken func(position int, text string) error,
) (usage Usage, finishReason string, err error) {
	req.Stream = true
	resp, err := c.send(ctx, call{method: http.MethodPost, path: PathCompletions, in: req, single: true})
	if err != nil {
		return Usage{}, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	s := completion{req: req, onToken: onToken, position: req.ResumeFrom}
	if err := s.read(resp.Body); err != nil {
		return Usage{}, "", err
	}
	return *s.usage, s.finishReason, nil
}

// completion is the state of one stream.
type completion struct {
	req          CompletionRequest
	onToken      func(int, string) error
	position     int
	usage        *Usage
	finishReason string
}

func (s *completion) read(body io.Reader) error {
	lines := bufio.NewScanner(io.LimitReader(body, maxStreamBytes))
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMark) {
			return s.checkEnd()
		}
		if err := s.event(data); err != nil {
			return err
		}
	}
	err := lines.Err()
	if errors.Is(err, bufio.ErrTooLong) {
		return errs.Wrap(err, errs.Corrupt, remedyCheckEngine, "completion event exceeds %d bytes", maxEventBytes)
	}
	if err != nil {
		return errs.Wrap(err, errs.Unknown, remedyResume, "completion stream broke at token %d", s.position)
	}
	return errs.New(errs.Unknown, remedyResume, "completion stream was cut at token %d", s.position)
}

const remedyResume = "resume from the token position on another upstream"

func (s *completion) event(data []byte) error {
	var chunk CompletionChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return errs.Wrap(err, errs.Corrupt, remedyCheckEngine, "completion event is malformed")
	}
	if chunk.ID != s.req.RequestID {
		return errs.New(errs.Corrupt, remedyResume, "completion event belongs to request %q, not %q", chunk.ID, s.req.RequestID)
	}
	if chunk.Model != s.req.Model {
		return errs.New(errs.Corrupt, remedyResume, "completion event comes from model %q, not %q", chunk.Model, s.req.Model)
	}
	if chunk.Usage != nil {
		s.usage = chunk.Usage
	}
	for _, choice := range chunk.Choices {
		if err := s.choice(choice); err != nil {
			return err
		}
	}
	return nil
}

func (s *completion) choice(choice Choice) error {
	if choice.FinishReason != nil {
		s.finishReason = *choice.FinishReason
	}
	if choice.Text == "" {
		return nil
	}
	if s.position >= s.req.MaxTokens {
		return errs.New(errs.Corrupt, remedyCheckEngine, "completion exceeds %d tokens", s.req.MaxTokens)
	}
	if len(choice.Text) > maxTokenBytes {
		return errs.New(errs.Corrupt, remedyCheckEngine, "token at position %d exceeds %d bytes", s.position, maxTokenBytes)
	}
	position := s.position
	s.position++
	return s.onToken(position, choice.Text)
}

// checkEnd guards against lost events and against an answer that ended early.
func (s *completion) checkEnd() error {
	if s.usage == nil || s.finishReason == "" {
		return errs.New(errs.Corrupt, remedyResume, "completion ended without usage and finish reason")
	}
	if received := s.position - s.req.ResumeFrom; s.usage.CompletionTokens != received {
		return errs.New(errs.Corrupt, remedyResume, "completion has %d tokens but %d arrived", s.usage.CompletionTokens, received)
	}
	return nil
}

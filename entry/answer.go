package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"waxwingtide.example/waxwingtide/engine"
)

const objectCompletion = "text_completion"

// completionWriter writes the response to the caller in one of the two formats of the
// completions protocol.
type completionWriter interface {
	// writeToken adds the next token to the response.
	writeToken(text string) error
	// writeEnd completes the response.
	writeEnd(finishReason string, usage engine.Usage) error
	// writeError ends a response that cannot be completed.
	writeError(r *errorResponse)
}

// streamWriter writes server-sent events. It writes nothing before the first event, so that
// an error before the first token is sent with its own HTTP status.
type streamWriter struct {
	w           http.ResponseWriter
	id          string
	model       string
	headersSent bool
}

func (s *streamWriter) sendHeaders() {
	if s.headersSent {
		return
	}
	s.headersSent = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamWriter) writeToken(text string) error {
	return s.writeChunk(engine.Choice{Text: text}, nil)
}

func (s *streamWriter) writeEnd(finishReason string, usage engine.Usage) error {
	if err := s.writeChunk(engine.Choice{FinishReason: &finishReason}, &usage); err != nil {
		return err
	}
	return s.writeEvent([]byte("[DONE]"))
}

// writeError writes an error event if the headers were already sent. It does not write the
// end marker, so that callers do not treat the response as complete.
func (s *streamWriter) writeError(r *errorResponse) {
	if !s.headersSent {
		r.write(s.w)
		return
	}
	_ = s.writeEvent(r.body())
}

func (s *streamWriter) writeChunk(choice engine.Choice, usage *engine.Usage) error {
	s.sendHeaders()
	body, err := json.Marshal(engine.CompletionChunk{
		ID: s.id, Object: objectCompletion, Model: s.model, Choices: []engine.Choice{choice}, Usage: usage,
	})
	if err != nil {
		return err
	}
	return s.writeEvent(body)
}

func (s *streamWriter) writeEvent(data []byte) error {
	buf := make([]byte, 0, len(data)+8)
	buf = append(buf, "data: "...)
	buf = append(buf, data...)
	buf = append(buf, "\n\n"...)
	if _, err := s.w.Write(buf); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// bodyWriter collects the tokens and writes the response as one JSON body.
type bodyWriter struct {
	w     http.ResponseWriter
	id    string
	model string
	text  strings.Builder
}

func (b *bodyWriter) writeToken(text string) error {
	b.text.WriteString(text)
	return nil
}

func (b *bodyWriter) writeEnd(finishReason string, usage engine.Usage) error {
	b.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(b.w).Encode(engine.CompletionChunk{
		ID: b.id, Object: objectCompletion, Model: b.model,
		Choices: []engine.Choice{{Text: b.text.String(), FinishReason: &finishReason}}, Usage: &usage,
	})
}

func (b *bodyWriter) writeError(r *errorResponse) { r.write(b.w) }

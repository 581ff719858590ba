package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"waxwingtide.example/waxwingtide/engine"
)

const objectCompletion = "text_completion"

// answerWriter writes an answer to the caller in one of the two forms of the
// completions protocol.
type completionWriter interface {
	// token writes the next token.
	writeToken(text string) error
	// end completes the answer.
	writeEnd(finish string, usage engine.Usage) error
	// refuse ends an answer that cannot be completed.
	writeError(r *errorResponse)
}

// streamWriter writes server-sent events. Nothing is written before the first
// token, so that a refusal before it still has a status of its own.
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

func (s *streamWriter) writeEnd(finish string, usage engine.Usage) error {
	if err := s.writeChunk(engine.Choice{FinishReason: &finish}, &usage); err != nil {
		return err
	}
	return s.writeEvent([]byte("[DONE]"))
}

// refuse tells an error inside the stream once the stream has begun. The end
// mark is left out, so that no caller takes the answer for whole.
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

// bodyWriter collects the answer and writes it as one JSON body.
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

func (b *bodyWriter) writeEnd(finish string, usage engine.Usage) error {
	b.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(b.w).Encode(engine.CompletionChunk{
		ID: b.id, Object: objectCompletion, Model: b.model,
		Choices: []engine.Choice{{Text: b.text.String(), FinishReason: &finish}}, Usage: &usage,
	})
}

func (b *bodyWriter) writeError(r *errorResponse) { r.write(b.w) }

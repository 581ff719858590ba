package httplimit

import (
	"context"
	"io"

	"waxwingtide.example/waxwingtide/ring"
)

// LargeBodies limits how many large bodies are read at the same time, so that the memory
// for bodies is bounded over all calls of a process. Further large bodies wait.
type LargeBodies struct {
	smallBytes int64
	// slots contains an element for each further large body that may be read.
	slots *ring.Ring[struct{}]
}

// NewLargeBodies returns a limit of count bodies at a time with more than smallBytes bytes.
func NewLargeBodies(count int, smallBytes int64) *LargeBodies {
	l := &LargeBodies{smallBytes: smallBytes, slots: ring.New[struct{}](count)}
	for range count {
		l.slots.Offer(struct{}{})
	}
	return l
}

// Limit returns a body that counts as large after smallBytes bytes, until it is closed.
// If there are too many, the read waits, and returns the error of the context if that ends
// first. The body must be closed, and is not safe for concurrent use.
func (l *LargeBodies) Limit(ctx context.Context, body io.ReadCloser) io.ReadCloser {
	return &countedBody{ReadCloser: body, ctx: ctx, large: l, smallLeft: l.smallBytes}
}

type countedBody struct {
	io.ReadCloser
	ctx   context.Context
	large *LargeBodies
	// smallLeft is the number of bytes that can be read before the body is large.
	smallLeft int64
	isLarge   bool
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	if b.isLarge {
		return b.ReadCloser.Read(p)
	}
	if b.smallLeft == 0 {
		if _, err := b.large.slots.Receive(b.ctx); err != nil {
			return 0, err
		}
		b.isLarge = true
		return b.ReadCloser.Read(p)
	}
	if int64(len(p)) > b.smallLeft {
		p = p[:b.smallLeft]
	}
	n, err := b.ReadCloser.Read(p)
	b.smallLeft -= int64(n)
	return n, err
}

// Close implements io.Closer.
func (b *countedBody) Close() error {
	if b.isLarge {
		b.isLarge = false
		b.smallLeft = 0
		b.large.slots.Offer(struct{}{})
	}
	return b.ReadCloser.Close()
}

package membudget

import (
	"errors"
	"io"

	"waxwingtide.example/waxwingtide/errs"
)

const (
	// minBufferBytes is the first capacity of a buffer.
	minBufferBytes = 512
	// growthFactor is the factor by which the capacity grows.
	growthFactor = 2
	// knownGrowthFactor is the factor if the final size is stated. It is larger, since
	// the last capacity is then not larger than needed.
	knownGrowthFactor = 4
)

// Buffer is a sequence of bytes whose capacity is charged to an account, including the old
// memory while the buffer grows. Its memory stays charged until the account returns it.
type Buffer struct {
	account *Account
	bytes   []byte
	// statedBytes is the final size that the sender states, or negative. No memory is
	// allocated for it before the bytes have been received.
	statedBytes int64
	// maxBytes is the largest capacity that growth leads to; 0 means no limit.
	maxBytes int64
}

// NewBuffer returns an empty buffer. statedBytes is the final size that the sender states;
// it is negative if there is none.
func NewBuffer(account *Account, statedBytes int64) *Buffer {
	return &Buffer{account: account, statedBytes: statedBytes}
}

// Bytes returns the content. It is valid until the next change of the buffer.
func (b *Buffer) Bytes() []byte { return b.bytes }

// Len returns the number of bytes in the buffer.
func (b *Buffer) Len() int { return len(b.bytes) }

// ChargedBytes returns the number of bytes that are charged for the buffer.
func (b *Buffer) ChargedBytes() int64 { return int64(cap(b.bytes)) }

// Append adds bytes. The error has the kind errs.Exhausted if the budget cannot grant them.
func (b *Buffer) Append(p []byte) error {
	if err := b.reserve(len(p)); err != nil {
		return err
	}
	b.bytes = append(b.bytes, p...)
	return nil
}

// reserve makes room for a number of further bytes.
func (b *Buffer) reserve(additional int) error {
	needed := len(b.bytes) + additional
	if needed <= cap(b.bytes) {
		return nil
	}
	old, size := b.ChargedBytes(), b.nextCapacity(needed)
	if err := b.account.Charge(size); err != nil {
		return err
	}
	grown := make([]byte, len(b.bytes), size)
	copy(grown, b.bytes)
	b.bytes = grown
	b.account.Release(old)
	return nil
}

// nextCapacity returns the capacity for at least a number of bytes.
func (b *Buffer) nextCapacity(needed int) int64 {
	factor := growthFactor
	if b.statedBytes >= 0 {
		factor = knownGrowthFactor
	}
	size := int64(max(needed, minBufferBytes, factor*cap(b.bytes)))
	if b.statedBytes >= int64(needed) {
		size = min(size, b.statedBytes)
	}
	if b.maxBytes >= int64(needed) {
		size = min(size, b.maxBytes)
	}
	return size
}

// readFrom appends what one read of a source returns.
func (b *Buffer) readFrom(source io.Reader) error {
	if b.statedBytes >= 0 && int64(b.Len()) == b.statedBytes {
		return b.readPastStated(source)
	}
	if b.Len() == cap(b.bytes) {
		if err := b.reserve(1); err != nil {
			return err
		}
	}
	n, err := source.Read(b.bytes[len(b.bytes):cap(b.bytes)])
	b.bytes = b.bytes[:len(b.bytes)+n]
	return err
}

// readPastStated reads a byte behind the stated size, where the source should end.
func (b *Buffer) readPastStated(source io.Reader) error {
	var next [1]byte
	n, err := source.Read(next[:])
	if appendErr := b.Append(next[:n]); appendErr != nil {
		return appendErr
	}
	return err
}

// Reset removes the content. It returns the memory to the account if the buffer is large.
func (b *Buffer) Reset() {
	if b.ChargedBytes() <= ReservedBytes {
		b.bytes = b.bytes[:0]
		return
	}
	b.account.Release(b.ChargedBytes())
	b.bytes = nil
}

// ReadAll reads a source to its end into memory that is charged to an account. statedBytes
// is the size that the sender states; it is negative if there is none. The error has the
// kind errs.Exhausted if the budget cannot grant the memory, and errs.Corrupt if the source
// has more than maxBytes. The bytes that were read are returned with the error.
func ReadAll(source io.Reader, account *Account, statedBytes, maxBytes int64) ([]byte, error) {
	b := NewBuffer(account, statedBytes)
	b.maxBytes = maxBytes + 1
	limited := io.LimitReader(source, maxBytes+1)
	for {
		err := b.readFrom(limited)
		switch {
		case int64(b.Len()) > maxBytes:
			return b.Bytes(), errs.New(errs.Corrupt, "report this as a defect of the sender", "body exceeds %d bytes", maxBytes)
		case errors.Is(err, io.EOF):
			return b.Bytes(), nil
		case err != nil:
			return b.Bytes(), err
		}
	}
}

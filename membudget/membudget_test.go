package membudget

import (
	"bytes"
	"io"
	"math/rand/v2"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/errs"
)

const limitBytes = 1 << 20

// Guards against messages that hold more than the budget together, in any order of growth
// and release, and against memory that remains charged after they have ended.
func TestMessagesStayWithinBudget(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 0))
		b := New("test", limitBytes)
		accounts := make([]*Account, 100)
		for i := range accounts {
			accounts[i] = b.Open()
		}
		held := make([]int64, len(accounts))
		total := int64(0)
		for range 5000 {
			i := random.IntN(len(accounts))
			if random.IntN(10) == 0 {
				accounts[i].Close()
				total -= held[i]
				held[i] = 0
				continue
			}
			size := random.Int64N(1 << uint(1+random.IntN(18)))
			if accounts[i].Charge(size) == nil {
				held[i] += size
				total += size
			}
			require.Equal(t, total, b.UsedBytes())
			require.LessOrEqual(t, total, int64(limitBytes))
		}
		for _, a := range accounts {
			a.Close()
			a.Close()
		}
		require.Zero(t, b.UsedBytes())
	}
}

// Guards against messages without end that use up the memory which small messages need,
// whether they are broken off when they are refused or hold what they were granted.
func TestMessagesWithoutEndLeaveMemoryForSmallOnes(t *testing.T) {
	const (
		messages  = int(reservedShare * limitBytes / ReservedBytes)
		endless   = messages / 2
		stepBytes = 1 << 10
	)
	for name, isBrokenOff := range map[string]bool{"broken off": true, "held": false} {
		t.Run(name, func(t *testing.T) {
			b := New("test", limitBytes)
			for range endless {
				a := b.Open()
				for a.Charge(stepBytes) == nil {
				}
				if isBrokenOff {
					a.Close()
				}
			}
			for range messages - endless {
				require.NoError(t, b.Open().Charge(ReservedBytes))
			}
		})
	}
}

// Guards against messages of medium size that are refused while many messages grow without
// end at the same time: those hold at most as much each as they leave free.
func TestGrowingMessagesLeaveMemoryForMediumOnes(t *testing.T) {
	const (
		endless     = 16
		stepBytes   = 512
		mediumBytes = limitBytes / 2 / (endless + 1)
	)
	b := New("test", limitBytes)
	accounts := make([]*Account, endless)
	for i := range accounts {
		accounts[i] = b.Open()
	}
	for range limitBytes / stepBytes {
		for _, a := range accounts {
			_ = a.Charge(stepBytes) // is refused in the end
		}
	}
	require.NoError(t, b.Open().Charge(mediumBytes/2))
}

// Guards against a large message that is refused although no other holds memory.
func TestSingleLargeMessageIsGranted(t *testing.T) {
	require.NoError(t, New("test", limitBytes).Open().Charge(limitBytes/3))
}

// Guards against refusals that are not recognised, or that remain charged.
func TestRefusalIsRecognised(t *testing.T) {
	b := New("test", limitBytes)
	err := b.Open().Charge(2 * limitBytes)
	require.True(t, IsRefusal(err))
	require.True(t, errs.Is(err, errs.Exhausted))
	require.False(t, IsRefusal(io.EOF))
	require.Zero(t, b.UsedBytes())
	require.EqualValues(t, 1, b.Refusals())
}

// Guards against bodies that are changed or cut while they are read, and against memory
// that is allocated but not charged, for any stated size.
func TestReadAllReturnsBodyAndChargesIt(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		body := make([]byte, random.IntN(100<<10))
		for i := range body {
			body[i] = byte(random.Uint32())
		}
		readers := map[string]func() io.Reader{
			"whole":          func() io.Reader { return bytes.NewReader(body) },
			"halves":         func() io.Reader { return iotest.HalfReader(bytes.NewReader(body)) },
			"error with end": func() io.Reader { return iotest.DataErrReader(bytes.NewReader(body)) },
		}
		for name, open := range readers {
			for _, stated := range []int64{-1, 0, int64(len(body)), int64(len(body) / 2), limitBytes} {
				a := New("test", limitBytes).Open()
				got, err := ReadAll(open(), a, stated, limitBytes)
				require.NoError(t, err)
				require.True(t, bytes.Equal(body, got), name)
				require.EqualValues(t, cap(got), a.heldBytes(), name)
			}
		}
	}
}

// endlessReader returns zero bytes without end and counts them.
type endlessReader struct{ bytes int64 }

// Read implements io.Reader.
func (r *endlessReader) Read(p []byte) (int, error) {
	r.bytes += int64(len(p))
	return len(p), nil
}

// Guards against a body without end that is read on after its limit or the budget.
func TestReadAllEndsAtLimitAndBudget(t *testing.T) {
	source := &endlessReader{}
	_, err := ReadAll(source, New("test", limitBytes).Open(), -1, 1000)
	require.True(t, errs.Is(err, errs.Corrupt))
	require.EqualValues(t, 1001, source.bytes)

	source = &endlessReader{}
	_, err = ReadAll(source, New("test", limitBytes).Open(), 1<<40, 1<<40)
	require.True(t, IsRefusal(err))
	require.LessOrEqual(t, source.bytes, int64(limitBytes))
}

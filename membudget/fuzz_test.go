package membudget

import (
	"bytes"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// Guards against bodies that are changed, exceed their limit, or take memory that is not
// charged, whatever size the sender states.
func FuzzReadAll(f *testing.F) {
	f.Add([]byte("body"), int64(4), int64(4))
	f.Add([]byte("longer than stated"), int64(2), int64(1000))
	f.Add(bytes.Repeat([]byte("x"), 5000), int64(-1), int64(4999))
	f.Add([]byte{}, int64(1<<62), int64(0))
	f.Fuzz(func(t *testing.T, body []byte, statedBytes, maxBytes int64) {
		if maxBytes < 0 || maxBytes > limitBytes {
			return
		}
		account := New("test", limitBytes).Open()
		got, err := ReadAll(iotest.HalfReader(bytes.NewReader(body)), account, statedBytes, maxBytes)
		require.EqualValues(t, cap(got), account.heldBytes())
		require.True(t, bytes.HasPrefix(body, got))
		if int64(len(body)) > maxBytes {
			require.Error(t, err)
		} else if !IsRefusal(err) {
			require.NoError(t, err)
			require.Len(t, got, len(body))
		}
	})
}

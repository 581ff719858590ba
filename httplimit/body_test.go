package httplimit_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"waxwingtide.example/waxwingtide/errs"
	"waxwingtide.example/waxwingtide/httplimit"
)

// Guards against a body that is accepted although it is too large, or rejected although it
// has the maximum size.
func TestLimitBody(t *testing.T) {
	const limit = 5
	for text, complete := range map[string]bool{"": true, "1234": true, "12345": true, "123456": false, "123456789": false} {
		readers := map[string]io.Reader{
			"whole":                  strings.NewReader(text),
			"single byte":            iotest.OneByteReader(strings.NewReader(text)),
			"end with the last byte": iotest.DataErrReader(strings.NewReader(text)),
		}
		for name, reader := range readers {
			body := httplimit.LimitBody(io.NopCloser(reader), limit)
			read, err := io.ReadAll(body)
			if complete {
				require.NoError(t, err, "%s, %q", name, text)
				require.Equal(t, text, string(read), name)
				continue
			}
			require.Equal(t, errs.Corrupt, errs.KindOf(err), "%s, %q", name, text)
			require.Equal(t, text[:limit], string(read), name)
			_, err = body.Read(make([]byte, 1))
			require.Error(t, err, "a further read after the limit")
		}
	}
}

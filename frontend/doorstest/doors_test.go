package doorstest

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcwire"
)

const (
	// bodyCrowd is the number of clients with large bodies. Together these are almost as
	// large as the machine.
	bodyCrowd = 64
	// fieldsCrowd is the number of clients with many short fields. Each head takes some
	// hundred kilobytes when it is parsed.
	fieldsCrowd = 320
	// connectionCrowd is more clients than the process has descriptors.
	connectionCrowd = maxFDs + maxFDs/4
	// pipelineCrowd is the number of clients that send requests ahead.
	pipelineCrowd, pipelinedRequests = 32, 400
	innerCrowd                       = 32
)

// testDoors plays a crowd at each door of a front of its own. While the crowd is still
// there, an ordinary request has to be served, and the process has to stay within the
// memory and the descriptors of its machine. None of the crowd's requests may have reached
// a server unless they are complete.
func testDoors(t *testing.T, complete bool, c crowd) {
	t.Helper()
	for _, d := range doors {
		t.Run(d.name, func(t *testing.T) { testDoor(t, d, complete, c) })
	}
}

func testDoor(t *testing.T, d door, complete bool, c crowd) {
	t.Helper()
	f := startFront(t, smallMachine)
	end := c.play(t.Context(), f, d)
	defer end()
	f.requireAlive()
	f.requireServed()
	require.Eventually(t, f.ready, testTimeout, 100*time.Millisecond, "the readiness check fails")
	f.requireAlive()
	f.requireWithinMachine(smallMachine)
	for _, r := range f.server.Seen() {
		require.False(t, !complete && strings.HasPrefix(r.Header.Get("Request-Id"), crowdID), "a request that is not complete has reached a server")
	}
}

// withLength sends all of a body but the last byte.
func withLength(size int) func(*client) {
	return func(c *client) {
		c.send(c.head(http.MethodPost) + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + strings.Repeat("x", size-1))
	}
}

// Guards against bodies of legal size that stop one byte short of their end and take the
// memory or the service of others.
func TestCrowdOfBodiesInOnePiece(t *testing.T) {
	testDoors(t, false, crowd{bodyCrowd, withLength(bodyBytes)})
}

// Guards against bodies that http.Server itself reads to their end, after the handler has
// answered, and that never end.
func TestCrowdOfSmallBodies(t *testing.T) {
	testDoors(t, false, crowd{connectionCrowd, withLength(smallBodyBytes)})
}

// Guards against bodies in small pieces that stop one byte short of their end.
func TestCrowdOfBodiesInSmallPieces(t *testing.T) {
	testDoors(t, false, crowd{bodyCrowd, func(c *client) {
		const pieceBytes = 1 << 10
		if !c.send(c.head(http.MethodPost) + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes)) {
			return
		}
		for sent := pieceBytes; sent < bodyBytes; sent += pieceBytes {
			if !c.send(strings.Repeat("x", pieceBytes)) {
				return
			}
		}
		c.send(strings.Repeat("x", pieceBytes-1))
	}})
}

// Guards against bodies in chunks whose last chunk does not come.
func TestCrowdOfBodiesInChunks(t *testing.T) {
	testDoors(t, false, crowd{bodyCrowd, func(c *client) {
		c.send(c.head(http.MethodPost) + "Transfer-Encoding: chunked\r\n\r\n" + chunks(bodyBytes))
	}})
}

// Guards against bodies far over the limit, which are refused or whose connections are
// closed, with the length stated and without.
func TestCrowdOfBodiesOverTheLimit(t *testing.T) {
	const sentBytes = 8 * maxBodyBytes
	testDoors(t, false, crowd{bodyCrowd, func(c *client) {
		if c.number%2 == 0 {
			c.send(c.head(http.MethodPost) + fmt.Sprintf("Content-Length: %d\r\n\r\n", 64*maxBodyBytes) + strings.Repeat("x", sentBytes))
			return
		}
		c.send(c.head(http.MethodPost) + "Transfer-Encoding: chunked\r\n\r\n" + chunks(sentBytes))
	}})
}

// Guards against heads of legal size with very many short fields, which take many times
// their size when they are parsed and stop one byte short of their end.
func TestCrowdOfManyShortFields(t *testing.T) {
	testDoors(t, false, crowd{fieldsCrowd, func(c *client) {
		c.send(c.head(http.MethodPost) + fields(fieldsBytes) + "\r")
	}})
}

// Guards against complete heads with very many short fields that remain in memory since
// their bodies do not end.
func TestCrowdOfManyShortFieldsWithBodies(t *testing.T) {
	testDoors(t, false, crowd{fieldsCrowd, func(c *client) {
		c.send(c.head(http.MethodPost) + fields(fieldsBytes) + "Content-Length: 2\r\n\r\nx")
	}})
}

// Guards against heads over the limit with very many short fields.
func TestCrowdOfLongHeads(t *testing.T) {
	testDoors(t, false, crowd{fieldsCrowd, func(c *client) {
		c.send(c.head(http.MethodPost) + fields(4*fieldsBytes) + "\r")
	}})
}

// Guards against requests that are sent ahead on connections whose answers are not read.
func TestCrowdOfRequestsAhead(t *testing.T) {
	testDoors(t, true, crowd{pipelineCrowd, func(c *client) {
		c.send(strings.Repeat(c.head(http.MethodGet)+"\r\n", pipelinedRequests))
	}})
}

// Guards against requests with very many short fields that are sent ahead.
func TestCrowdOfRequestsAheadWithManyShortFields(t *testing.T) {
	testDoors(t, true, crowd{fieldsCrowd, func(c *client) {
		c.send(strings.Repeat(c.head(http.MethodGet)+fields(fieldsBytes)+"\r\n", 4))
	}})
}

// Guards against heads that come a byte at a time.
func TestCrowdOfSlowHeads(t *testing.T) {
	testDoors(t, false, crowd{connectionCrowd, func(c *client) {
		if c.send(c.head(http.MethodPost) + fields(fieldsBytes) + "X-Long: ") {
			c.drip(fieldsBytes)
		}
	}})
}

// Guards against bodies that come a byte at a time after their first part.
func TestCrowdOfSlowBodies(t *testing.T) {
	const sentAtOnce = bodyBytes - 10<<10
	testDoors(t, false, crowd{bodyCrowd, func(c *client) {
		if c.send(c.head(http.MethodPost) + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes) + strings.Repeat("x", sentAtOnce)) {
			c.drip(bodyBytes - sentAtOnce - 1)
		}
	}})
}

// Guards against clients that read a large answer a byte at a time, or not at all.
func TestCrowdOfSlowReaders(t *testing.T) {
	large := door{"large answers", func(f *front) string { return f.callers }, "/large/x"}
	for _, d := range append([]door{large}, doors...) {
		t.Run(d.name, func(t *testing.T) {
			testDoor(t, d, true, crowd{bodyCrowd, func(c *client) {
				if !c.send(c.head(http.MethodGet)+"\r\n") || c.number%2 == 0 {
					return
				}
				for c.ctx.Err() == nil {
					time.Sleep(dripInterval)
					if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
						return
					}
				}
			}})
		})
	}
}

// Guards against connections that stop half-way: before the first byte, inside a head and
// inside a body.
func TestCrowdOfHalfWayStops(t *testing.T) {
	testDoors(t, false, crowd{connectionCrowd, func(c *client) {
		text := c.head(http.MethodPost) + "Content-Length: 100\r\n\r\n" + strings.Repeat("x", 50)
		c.send(text[:c.number%3*len(text)/2])
	}})
}

// Guards against messages of the inner protocol that do not end.
func TestCrowdOfUnfinishedMessages(t *testing.T) {
	const messageBytes, frameBytes = 4 << 20, 32 << 10
	inner := doors[len(doors)-1]
	testDoor(t, inner, false, crowd{innerCrowd, func(c *client) {
		var text []byte
		for len(text) < messageBytes {
			text = drpcwire.AppendFrame(text, drpcwire.Frame{
				ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke, Data: make([]byte, frameBytes),
			})
		}
		c.send(string(text))
	}})
}

// Guards against limits that a single request within the limits of the configuration meets
// in calm, on the smallest machine of the pages.
func TestLargestRequestIsServedInCalm(t *testing.T) {
	m := machine{memoryMB: 134, maxFDs: 4100, bodyBytes: 4 << 20}
	f := startFront(t, m)
	body := strings.Repeat("x", m.bodyBytes)
	addFields := func(r *http.Request) {
		for i, size := 0, 0; size < fieldsBytes; i++ {
			name := fmt.Sprintf("%X", 0xa00+i)
			r.Header[name] = []string{""}
			size += len(name) + len(": \r\n")
		}
	}
	inChunks := func(r *http.Request) {
		addFields(r)
		r.ContentLength = -1
	}
	for range 3 {
		require.True(t, f.isServed(body, addFields), "a body with a length is refused")
		require.True(t, f.isServed(body, inChunks), "a body in chunks is refused")
	}
	f.requireAlive()
}

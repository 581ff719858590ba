package doorstest

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// sendTimeout is the time after which a client that cannot send on counts as stopped.
	sendTimeout = 2 * time.Second
	// dripInterval is the pause of clients that send or read very slowly.
	dripInterval = 50 * time.Millisecond
	// bodyBytes is the size of large bodies, which is within the limit.
	bodyBytes = 900 << 10
	// smallBodyBytes is a size of bodies that http.Server reads to their end also if the
	// handler does not.
	smallBodyBytes = 200 << 10
	// fieldsBytes is the size of the fields of a head, which is within the limit with the
	// other lines.
	fieldsBytes = 15 << 10
)

// door is a path at a listener of the process.
type door struct {
	name    string
	address func(*front) string
	path    string
}

var doors = []door{
	{"route", func(f *front) string { return f.callers }, "/log/x"},
	{"path without a route", func(f *front) string { return f.callers }, "/nowhere/x"},
	{"readiness", func(f *front) string { return f.readiness }, "/-/readiness"},
	{"metrics", func(f *front) string { return f.metrics }, "/metrics"},
	{"inner protocol", func(f *front) string { return f.inner }, "/"},
}

// crowd is a number of clients that do the same.
type crowd struct {
	clients int
	// act sends what the client sends and returns when it stops. The connection then
	// stays open.
	act func(c *client)
}

// client is one client of a crowd.
type client struct {
	net.Conn
	// ctx ends with the crowd.
	ctx     context.Context
	number  int
	path    string
	address string
}

// send sends text and reports whether all was sent.
func (c *client) send(text string) bool {
	_ = c.SetWriteDeadline(time.Now().Add(sendTimeout)) // a failure shows in the write
	_, err := io.WriteString(c, text)
	return err == nil
}

// head returns the request line and the ordinary fields of a request.
func (c *client) head(method string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nRequest-Id: %s%d\r\n", method, c.path, host, apiKey, crowdID, c.number)
}

// fields returns a number of bytes of short fields, which all differ.
func fields(size int) string {
	var text strings.Builder
	for i := 0; text.Len() < size; i++ {
		fmt.Fprintf(&text, "%x:\r\n", 0xa00+i)
	}
	return text.String()
}

// chunks returns a body in chunks without its last one.
func chunks(size int) string {
	const chunkBytes = 1000
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
	return strings.Repeat(chunk, size/chunkBytes)
}

// drip sends single bytes slowly until the crowd ends or the connection does.
func (c *client) drip(limit int) {
	for range limit {
		select {
		case <-c.ctx.Done():
			return
		case <-time.After(dripInterval):
		}
		if !c.send("x") {
			return
		}
	}
}

// play opens the connections of a crowd at a door and returns when all clients have sent
// what they can. The returned function ends the crowd.
func (c crowd) play(parent context.Context, f *front, d door) (end func()) {
	ctx, cancel := context.WithCancel(parent)
	var settled, running sync.WaitGroup
	for number := range c.clients {
		settled.Add(1)
		running.Go(func() {
			settle := sync.OnceFunc(settled.Done)
			defer settle()
			conn, err := net.DialTimeout("tcp", d.address(f), sendTimeout)
			if err != nil {
				return
			}
			// Also ends reads and writes in progress.
			defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
			// Clients that go on slowly count as settled after a while.
			defer time.AfterFunc(sendTimeout, settle).Stop()
			c.act(&client{Conn: conn, ctx: ctx, number: number, path: d.path, address: d.address(f)})
			settle()
			<-ctx.Done()
		})
	}
	settled.Wait()
	return func() {
		cancel()
		running.Wait()
	}
}

package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"waxwingtide.example/waxwingtide/standin"
)

const (
	// lossSlack is the time after which a connection with a part of a request may not
	// be closed: the close and the request have not crossed.
	lossSlack = 200 * time.Millisecond
	// headPause is the longest pause within the head of a request.
	headPause = 300 * time.Millisecond
	// idlePause is the longest pause between two calls on a connection. It is around
	// the time after which a planned stop closes idle connections.
	idlePause = 600 * time.Millisecond
)

// holder sends calls on one connection after the other until the context ends. It uses
// each connection until the front closes it, and sends requests in two pieces.
func (w *world) holder(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(w.o.Seed, uint64(3000+n)))
	for i := 0; ctx.Err() == nil; i++ {
		f := w.fronts[random.IntN(len(w.fronts))]
		conn, err := net.Dial("tcp", f.callers.address())
		if err != nil {
			continue // the proxy is short of ports
		}
		reader := bufio.NewReader(conn)
		for j := 0; ctx.Err() == nil && w.heldCall(conn, reader, f, fmt.Sprintf("h%d-%d-%d", n, i, j), random); j++ {
			time.Sleep(time.Duration(random.Int64N(int64(idlePause))))
		}
		_ = conn.Close() // it has no call
		time.Sleep(thinking)
	}
}

// heldCall sends a call and reads its response. It reports whether the connection may be
// used again.
func (w *world) heldCall(conn net.Conn, reader *bufio.Reader, f *front, id string, random *rand.Rand) bool {
	kind := kinds[random.IntN(2)] // no streams
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	req, err := standin.PlatformCall{
		ID: id, Method: kind.method, Address: f.callers.address(), Host: host, Path: kind.path, Key: apiKey, Wait: callTime, Body: strings.NewReader("body of " + id),
	}.Request(ctx)
	var text bytes.Buffer
	if err == nil {
		err = req.Write(&text)
	}
	if err != nil {
		w.ledger.note(entry{id: id, broken: err.Error()})
		return false
	}
	split := random.IntN(text.Len())
	pause := lossSlack + time.Duration(random.Int64N(int64(headPause-lossSlack)))
	w.ledger.note(entry{id: id, front: f.name, once: kind.once, tried: true})
	begun := time.Now()
	if split > 0 {
		_, _ = conn.Write(text.Next(split)) // a failure shows at the read
		_ = conn.SetReadDeadline(begun.Add(pause))
		if _, err := reader.Peek(1); !isTimeout(err) {
			w.noteClosed(f, id, begun, err)
			return false
		}
	}
	_, _ = conn.Write(text.Bytes())
	_ = conn.SetReadDeadline(time.Now().Add(callTime))
	resp, err := http.ReadResponse(reader, req)
	if err != nil {
		w.noteClosed(f, id, begun, err)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	w.checkResponse(id, resp, false)
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && !resp.Close
}

// noteClosed notes a connection that has ended without a response. One that ends right
// after the call has begun promises nothing: the close and the call have crossed.
func (w *world) noteClosed(f *front, id string, begun time.Time, err error) {
	if !isTimeout(err) && time.Since(begun) > lossSlack {
		w.ledger.note(entry{id: id, front: f.name, lost: true, sent: begun})
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

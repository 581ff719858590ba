package httplimit

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"waxwingtide.example/waxwingtide/errs"
)

// Do sends a request by a client. Unlike client.Do, it rejects a status that is not a final
// one of HTTP, and a response that ends with its connection is incomplete unless the request
// was written whole: a server that has not read the request may have broken off.
func Do(client *http.Client, request *http.Request) (*http.Response, error) {
	return checked(request, client.Do)
}

// checked sends a request by a function with the checks of Do.
func checked(request *http.Request, send func(*http.Request) (*http.Response, error)) (*http.Response, error) {
	w := &requestWrite{}
	response, err := send(request.WithContext(w.trace(request.Context())))
	if err != nil {
		return nil, err
	}
	if err := checkStatus(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if response.ProtoMajor == 1 && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		response.Body = &unframedBody{ReadCloser: response.Body, write: w}
	}
	return response, nil
}

// requestWrite is the state of writing a request.
type requestWrite struct {
	mu sync.Mutex
	// done is closed when the request was written or the write has failed with err. Each
	// attempt of net/http has its own.
	done chan struct{}
	err  error
}

// trace returns a context whose request reports its state.
func (w *requestWrite) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { w.begin() }, WroteRequest: func(info httptrace.WroteRequestInfo) { w.end(info.Err) },
	})
}

func (w *requestWrite) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done, w.err = make(chan struct{}), nil
}

func (w *requestWrite) end(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.err = err
	select {
	case <-w.done:
	default:
		close(w.done)
	}
}

// state returns the state of the current attempt.
func (w *requestWrite) state() (done <-chan struct{}, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done, w.err
}

// errUnwritten is the cause of an incomplete response.
var errUnwritten = errors.New("the connection ended before the request was written")

// check waits until the request was written, for at most pendingWriteTimeout.
func (w *requestWrite) check() error {
	timeout := time.NewTimer(pendingWriteTimeout)
	defer timeout.Stop()
	done, _ := w.state()
	if done == nil {
		return nil // the transport does not report its state
	}
	err := errUnwritten
	select {
	case <-done:
		_, err = w.state()
	case <-timeout.C:
	}
	return errs.Wrap(err, errs.Unknown, "check the server that sent the response", "response is incomplete")
}

// unframedBody is a body that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	write *requestWrite
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if writeErr := b.write.check(); writeErr != nil {
		return n, writeErr
	}
	return n, err
}

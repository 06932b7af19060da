package keptconn

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// attempt is one sending of a request.
type attempt struct {
	generation *generation
	request    *http.Request
	sentAt     time.Time
	cancel     context.CancelFunc
	// isKept reports whether the connection was used before.
	isKept atomic.Bool

	// done is closed once the following fields are set.
	done       chan struct{}
	response   *http.Response
	err        error
	answeredAt time.Time
}

// trace returns a context that records the connection of the attempt.
func (a *attempt) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.isKept.Store(info.Reused) }})
}

// run sends the request and waits for the header of the response.
func (a *attempt) run() {
	defer close(a.done)
	a.response, a.err = a.generation.transport.RoundTrip(a.request) //nolint:bodyclose // closed by the caller, or by abandon
	a.answeredAt = time.Now()
}

// isOnKeptConn reports whether the attempt was made on a connection that was used before.
func (a *attempt) isOnKeptConn() bool { return a.isKept.Load() }

// abandon ends the attempt. A response that was or will be received is discarded.
func (a *attempt) abandon() {
	a.cancel()
	go func() {
		<-a.done
		if a.err == nil {
			_ = a.response.Body.Close()
		}
	}()
}

// answerBody is the body of a response. Close also ends the attempt.
type answerBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}

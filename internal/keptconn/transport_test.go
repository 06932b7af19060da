package keptconn

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"rattantide/internal/standin/tcplink"
)

// keptServer is a server behind a link, with a client that keeps connections.
type keptServer struct {
	link   *tcplink.Link
	client *http.Client
	// calls counts the requests that reached the server, delay is its time to answer.
	calls atomic.Int64
	delay atomic.Int64
	// isGathering makes the first readsAtOnce requests wait for each other, so that each of them
	// has a connection of its own. gathered is closed when they have arrived.
	isGathering atomic.Bool
	gathered    chan struct{}
}

// readsAtOnce is the number of calls of callAll.
const readsAtOnce = 6

func startKeptServer(t *testing.T) *keptServer {
	s := &keptServer{gathered: make(chan struct{})}
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if s.calls.Add(1) == readsAtOnce {
			close(s.gathered)
		}
		if s.isGathering.Load() {
			<-s.gathered
		}
		select {
		case <-time.After(time.Duration(s.delay.Load())):
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(server.Close)
	var err error
	s.link, err = tcplink.Start(server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(s.link.Close)
	transport := New(Options{New: func() *http.Transport { return &http.Transport{MaxIdleConnsPerHost: 8} }})
	t.Cleanup(transport.CloseIdleConnections)
	s.client = &http.Client{Transport: transport}
	return s
}

// call makes a call that may last as long as limit.
func (s *keptServer) call(ctx context.Context, method string, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var body io.Reader
	if method != http.MethodGet {
		body = strings.NewReader("x")
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.link.Address(), body)
	if err != nil {
		return err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// callAll makes some reads at the same time.
func (s *keptServer) callAll(ctx context.Context, limit time.Duration) error {
	var group errgroup.Group
	for range readsAtOnce {
		group.Go(func() error { return s.call(ctx, http.MethodGet, limit) })
	}
	return group.Wait()
}

// Guards against reads that wait for their deadline, or fail, as all kept connections have
// fallen silent.
func TestReadsAreAnsweredAfterAllConnectionsFellSilent(t *testing.T) {
	s := startKeptServer(t)
	for range 2 {
		assert.NilError(t, s.callAll(t.Context(), time.Minute))
		s.link.SilenceOpen()
		assert.NilError(t, s.callAll(t.Context(), time.Minute))
	}
}

// Guards against a watch that is given up before the server had to answer it, and one that
// outlives its connection by more than the time in which a server answers.
func TestWatchIsRepeatedAfterItsWait(t *testing.T) {
	const wait = 600 * time.Millisecond
	s := startKeptServer(t)
	assert.NilError(t, s.call(t.Context(), http.MethodGet, time.Minute))
	s.delay.Store(int64(wait))
	assert.NilError(t, s.call(WithWait(t.Context(), wait), http.MethodGet, time.Minute))
	assert.Equal(t, s.calls.Load(), int64(2))
	s.link.SilenceOpen()
	assert.NilError(t, s.call(WithWait(t.Context(), wait), http.MethodGet, time.Minute))
}

// Guards against a server that receives more calls because it is slow: of many reads, one is
// repeated, until an answer has been received in time again.
func TestSlowServerReceivesOneMoreCall(t *testing.T) {
	const rounds = 3
	s := startKeptServer(t)
	s.isGathering.Store(true)
	assert.NilError(t, s.callAll(t.Context(), time.Minute))
	s.isGathering.Store(false)
	s.delay.Store(int64(time.Second))
	before := s.calls.Load()
	for range rounds {
		assert.NilError(t, s.callAll(t.Context(), time.Minute))
	}
	assert.Equal(t, s.calls.Load()-before, int64(rounds*readsAtOnce+1))
}

// Guards against a write that reaches the server twice, or that makes later calls wait for
// silent connections too.
func TestWriteIsNotRepeated(t *testing.T) {
	s := startKeptServer(t)
	assert.NilError(t, s.callAll(t.Context(), time.Minute))
	before := s.calls.Load()
	s.link.SilenceOpen()
	assert.ErrorIs(t, s.call(t.Context(), http.MethodPut, 500*time.Millisecond), context.DeadlineExceeded)
	assert.NilError(t, s.call(t.Context(), http.MethodPut, time.Minute))
	assert.Equal(t, s.calls.Load()-before, int64(1))
}

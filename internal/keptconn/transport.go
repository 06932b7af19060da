package keptconn

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
)

const (
	// answerTime is the time in which a healthy server answers, besides the time that
	// WithWait grants it. The server usually answers within milliseconds.
	answerTime = 350 * time.Millisecond
	// repeatInterval is the minimum time between two repeated reads while it is not known
	// whether the connections or the server caused the silence.
	repeatInterval = time.Second
	// maxUnproven bounds the earlier generations that are remembered. The calls of older ones
	// have ended long since.
	maxUnproven = 8
)

// Options configures a Transport. New is required.
type Options struct {
	// New returns a transport without connections.
	New func() *http.Transport
	// Scope records the counters. Default: no metrics.
	Scope tally.Scope
}

// Transport is an http.RoundTripper for calls to one server. Reads (GET without a body)
// may reach the server twice, other calls reach it at most as often as with http.Transport.
// It is safe for concurrent use.
type Transport struct {
	options Options

	mu sync.Mutex
	// current provides the connections for new calls.
	current *generation
	// unproven holds the earlier generations of which it is not known whether their
	// connections are silent.
	unproven []*generation
	// isServerSlow is set after a call on a new connection was not answered in time, until
	// a call is.
	isServerSlow bool
	// repeatedAt is when a read was last repeated without a proof.
	repeatedAt time.Time
}

// New returns a Transport without connections.
func New(options Options) *Transport {
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	return &Transport{options: options, current: newGeneration(options.New)}
}

// CloseIdleConnections closes the kept connections that no call uses.
func (t *Transport) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current.transport.CloseIdleConnections()
}

// RoundTrip implements http.RoundTripper. The response is that of the call's first or
// second attempt, whichever is received first.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	first := t.start(request)
	overdue := time.NewTimer(answerTime + waitOf(request.Context()))
	defer overdue.Stop()
	select {
	case <-first.done:
		return t.finish(first)
	case <-overdue.C:
	}
	t.suspect(first)
	if !isRead(request) || !t.awaitRepeat(first) {
		<-first.done
		return t.finish(first)
	}
	t.options.Scope.Counter("kept_connection_reads_repeated").Inc(1)
	return t.race(first, t.start(request))
}

// awaitRepeat waits until an overdue read may be sent again, which it reports, or is done.
func (t *Transport) awaitRepeat(a *attempt) bool {
	for {
		pause := time.NewTimer(t.repeatPause(a))
		select {
		case <-a.done:
			pause.Stop()
			return false
		case <-a.generation.silent:
			pause.Stop()
			return true
		case <-pause.C:
		}
		if t.tryRepeat(a) {
			return true
		}
	}
}

// repeatPause returns the time until it can be decided whether an overdue read is sent again.
func (t *Transport) repeatPause(a *attempt) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isServerSlow || !a.isOnKeptConn() {
		return repeatInterval
	}
	return time.Until(t.repeatedAt.Add(repeatInterval))
}

// tryRepeat reports whether an overdue read may be sent again without a proof that its
// connection is silent.
func (t *Transport) tryRepeat(a *attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.isServerSlow || !a.isOnKeptConn() || now.Sub(t.repeatedAt) < repeatInterval {
		return false
	}
	t.repeatedAt = now
	return true
}

// isRead reports whether a request may be sent twice.
func isRead(r *http.Request) bool {
	return r.Method == http.MethodGet && (r.Body == nil || r.Body == http.NoBody)
}

// race returns the first response of two attempts, or an error if both fail.
func (t *Transport) race(first, second *attempt) (*http.Response, error) {
	overdue := time.NewTimer(answerTime + waitOf(second.request.Context()))
	defer overdue.Stop()
	for {
		select {
		case <-first.done:
			if first.err != nil {
				<-second.done
				return t.finish(second)
			}
			second.abandon()
			return t.finish(first)
		case <-second.done:
			if second.err != nil {
				<-first.done
				return t.finish(first)
			}
			first.abandon()
			return t.finish(second)
		case <-overdue.C:
			t.suspect(second)
		}
	}
}

// start sends a request on a connection of the current generation.
func (t *Transport) start(request *http.Request) *attempt {
	t.mu.Lock()
	g := t.current
	t.mu.Unlock()
	ctx, cancel := context.WithCancel(request.Context())
	a := &attempt{generation: g, cancel: cancel, sentAt: time.Now(), done: make(chan struct{})}
	a.request = request.Clone(a.trace(ctx))
	go a.run()
	return a
}

// suspect records that an attempt was not answered in time. It gives up the connections of
// the attempt's generation, unless the server is known to be slow.
func (t *Transport) suspect(a *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !a.isOnKeptConn() {
		t.isServerSlow = true
	}
	if !t.isServerSlow {
		t.giveUp(a.generation)
	}
}

// giveUp makes new calls use new connections if g is the current generation. t.mu must be
// held.
func (t *Transport) giveUp(g *generation) {
	if t.current != g {
		return
	}
	t.options.Scope.Counter("kept_connections_given_up").Inc(1)
	t.unproven = append(t.unproven, g)
	t.unproven = t.unproven[max(0, len(t.unproven)-maxUnproven):]
	t.current = newGeneration(t.options.New)
	g.transport.CloseIdleConnections()
}

// finish returns the result of an attempt that is done, and records what it tells of the
// connections.
func (t *Transport) finish(a *attempt) (*http.Response, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.err != nil {
		if errors.Is(a.err, context.DeadlineExceeded) && a.isOnKeptConn() {
			t.giveUp(a.generation)
		}
		a.abandon()
		return nil, a.err
	}
	isPrompt := a.answeredAt.Sub(a.sentAt) <= answerTime+waitOf(a.request.Context())
	if isPrompt {
		t.isServerSlow = false
	}
	if isPrompt && a.generation == t.current {
		for _, g := range t.unproven {
			close(g.silent)
		}
		t.unproven = nil
	}
	a.response.Body = &answerBody{ReadCloser: a.response.Body, cancel: a.cancel}
	return a.response, nil
}

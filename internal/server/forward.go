package server

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/juju/errors"

	"rattantide/internal/forwardheader"
	"rattantide/internal/framing"
	"rattantide/internal/problem"
	"rattantide/internal/responsehead"
)

const (
	// maxHelpers bounds the daemons that are asked to serve one request.
	maxHelpers = 3
	// maxProblemBytes bounds the body of a daemon's problem.
	maxProblemBytes = 64 << 10
)

// errPathLost ends the attempts of calls that may be repeated once their path is lost.
const errPathLost = errors.ConstError("the path to the upstreams was lost")

// Paths tells which upstreams this daemon reaches. It is safe for concurrent use.
type Paths interface {
	// IsLost reports whether this daemon reaches no upstream of a pool.
	IsLost(pool string) bool
	// UntilLost calls abandon if the path to a pool is lost before stop is called.
	UntilLost(pool string, abandon func()) (stop func())
	// Lost returns the pools of which this daemon reaches no upstream, and whether these are
	// all pools with upstreams.
	Lost() (pools []string, all bool)
}

// Forwarding is how requests reach daemons that reach the upstreams. All fields are required.
type Forwarding struct {
	Paths Paths
	// Token is the token shared by all daemons.
	Token string
	// Scheme is "http" or "https".
	Scheme string
	// Helpers returns the addresses of other live daemons, preferred ones first.
	Helpers func() []string
	// Transport makes the calls to other daemons. It must not repeat any.
	Transport *responsehead.Transport
}

// isPathLost reports whether this daemon reaches no upstream of a pool.
func (s *Server) isPathLost(pool string) bool {
	f := s.options.Forwarding
	return f != nil && f.Paths.IsLost(pool)
}

// untilLost returns a context that ends with errPathLost once the path to a pool is lost, unless
// a request was forwarded to this daemon and can go no further.
func (s *Server) untilLost(ctx context.Context, r *http.Request, pool string) (context.Context, func()) {
	f := s.options.Forwarding
	if f == nil || isForwarded(r) {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := f.Paths.UntilLost(pool, func() { cancel(errPathLost) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// isAnyPathLost reports whether this daemon reaches no upstream of some pool.
func (s *Server) isAnyPathLost() bool {
	f := s.options.Forwarding
	if f == nil {
		return false
	}
	lost, _ := f.Paths.Lost()
	return len(lost) > 0
}

// lacksUpstreams reports whether this daemon reaches no upstream at all.
func (s *Server) lacksUpstreams() bool {
	f := s.options.Forwarding
	if f == nil {
		return false
	}
	_, all := f.Paths.Lost()
	return all
}

type forwardedKey struct{}

// markForwarded marks requests that another daemon forwarded, and takes what daemons tell each
// other out of the headers of all requests, as these are sent on to upstreams.
func (s *Server) markForwarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token := r.Header.Get(forwardheader.Token)
		r.Header.Del(forwardheader.Token)
		r.Header.Del(forwardheader.By)
		f := s.options.Forwarding
		if f != nil && token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(f.Token)) == 1 {
			r = r.WithContext(context.WithValue(r.Context(), forwardedKey{}, true))
		}
		next.ServeHTTP(w, r)
	})
}

// isForwarded reports whether another daemon forwarded a request.
func isForwarded(r *http.Request) bool { return r.Context().Value(forwardedKey{}) != nil }

// outgoingRequest is a request that may be forwarded to another daemon.
type outgoingRequest struct {
	id   string
	body []byte
	// mayHaveRun reports whether an upstream may have run the request in an earlier attempt.
	mayHaveRun bool
}

// noHelp returns the refusal of a request if no daemon reaches the upstreams.
func (o outgoingRequest) noHelp() *problem.Problem {
	p := problem.NewNotRun(http.StatusServiceUnavailable, problem.CodeNoUpstream, "no daemon reaches the upstreams").WithRetryAfter(transientRetryAfter)
	if o.mayHaveRun {
		p.Execution = problem.ExecutionUnknown
	}
	return p.WithRequestID(o.id)
}

// forward answers a request for a pool whose path is lost: by another daemon, or, if none
// helps, with a refusal. A request that was forwarded to this daemon goes no further.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, o outgoingRequest) {
	if isForwarded(r) {
		if !o.mayHaveRun {
			w.Header().Set(forwardheader.NotHelped, "1")
		}
		s.refuse(w, o.noHelp())
		return
	}
	helpers := s.options.Forwarding.Helpers()
	for _, address := range helpers[:min(maxHelpers, len(helpers))] {
		response, err := s.sendToHelper(r, address, o)
		var failure *net.OpError
		if errors.As(err, &failure) && failure.Op == "dial" {
			continue
		}
		if err != nil {
			s.options.Logger.Warn("a daemon was lost with a forwarded request", "request", o.id, "to", address, "error", err)
			s.refuse(w, problem.NewExecutionUnknown(http.StatusBadGateway, problem.CodeUpstreamFailed, "the daemon that served the request was lost").WithRequestID(o.id))
			return
		}
		if response.Header.Get(forwardheader.NotHelped) == "" {
			s.metrics.forwarded.Inc(1)
			s.relayFromHelper(w, r, o, response)
			return
		}
		_ = response.Body.Close()
	}
	s.refuse(w, o.noHelp())
}

// sendToHelper sends a request to another daemon and returns the response, whose body must be
// closed.
func (s *Server) sendToHelper(r *http.Request, address string, o outgoingRequest) (*http.Response, error) {
	f := s.options.Forwarding
	request, err := http.NewRequestWithContext(r.Context(), r.Method, f.Scheme+"://"+address+r.URL.RequestURI(), bytes.NewReader(o.body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Host = r.Host
	copyHeader(request.Header, r.Header)
	request.Header.Set("X-Request-Id", o.id)
	request.Header.Set(forwardheader.By, s.options.Self.Name)
	request.Header.Set(forwardheader.Token, f.Token)
	response, err := f.Transport.RoundTrip(request)
	return response, errors.Trace(err)
}

// relayFromHelper sends the response of another daemon to the caller.
func (s *Server) relayFromHelper(w http.ResponseWriter, r *http.Request, o outgoingRequest, response *http.Response) {
	defer response.Body.Close()
	if o.mayHaveRun {
		if p := notRunProblem(response); p != nil {
			p.Execution = problem.ExecutionUnknown
			s.refuse(w, p)
			return
		}
	}
	relayHead(w, r, response)
	if err := copyFlushing(w, response.Body, s.options.CallerWriteTimeout); err != nil {
		framing.Abort()
	}
}

// notRunProblem returns the problem by which a daemon says that a request did not run, or nil.
// The body of the response can still be read.
func notRunProblem(response *http.Response) *problem.Problem {
	if response.Header.Get("Content-Type") != problem.ContentType {
		return nil
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxProblemBytes))
	rest := response.Body
	response.Body = readCloser{Reader: io.MultiReader(bytes.NewReader(content), rest), Closer: rest}
	p := &problem.Problem{}
	if err != nil || json.Unmarshal(content, p) != nil || p.Execution != problem.ExecutionNotRun {
		return nil
	}
	return p
}

// readCloser reads and closes by different means.
type readCloser struct {
	io.Reader
	io.Closer
}

// relayHead sends the head of a response to the caller.
func relayHead(w http.ResponseWriter, r *http.Request, response *http.Response) {
	copyHeader(w.Header(), response.Header)
	framing.Begin(w, r, framing.Relayed(framing.Of(response, r.Method), r))
	w.WriteHeader(response.StatusCode)
}

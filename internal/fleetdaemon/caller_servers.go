package fleetdaemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"rattantide/internal/callerbudget"
	"rattantide/internal/fleetconfig"
	"rattantide/internal/framing"
)

// acceptRetryInterval is the pause after a connection could not be accepted.
const acceptRetryInterval = 20 * time.Millisecond

// callerServers serves the callers' listener. The limits of an http.Server cannot change, so
// that each change of the configuration's limits starts a new one, which gets the connections
// accepted from then on; earlier servers keep the connections that they have.
type callerServers struct {
	handler  http.Handler
	config   *fleetconfig.Holder
	listener net.Listener
	conns    *callerbudget.Budget
	logger   *log.Logger

	mu      sync.Mutex
	closed  bool
	servers []*http.Server
	current *handoverListener
	limits  serverLimits
}

// Serve accepts connections until the listener is closed.
func (s *callerServers) Serve() error {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The descriptors have run out; connections that end free some.
			time.Sleep(acceptRetryInterval)
			continue
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok {
			return errors.NotSupportedf("connection of type %T", c)
		}
		reservation := s.conns.Open(callerbudget.Caller{Address: callerbudget.AddressOf(c.RemoteAddr().String())}, func() { _ = tcp.Close() })
		if !reservation.Grow(1, time.Now()) {
			_ = tcp.Close()
			continue
		}
		conn := &callerConn{TCPConn: tcp, reservation: reservation}
		if !s.server().deliver(conn) {
			_ = conn.Close()
		}
	}
}

// server returns the listener of the server with the limits in effect.
func (s *callerServers) server() *handoverListener {
	config, _ := s.config.Current()
	limits := serverLimitsOf(config)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && s.limits == limits {
		return s.current
	}
	l := newHandoverListener(s.listener.Addr())
	if s.closed {
		_ = l.Close()
		return l
	}
	server := &http.Server{
		Handler: s.handler, ReadHeaderTimeout: limits.headerTimeout, IdleTimeout: limits.idleTimeout, MaxHeaderBytes: limits.headerBytes,
		ConnState: limits.recordState, ConnContext: withConnReservation,
	}
	framing.Protect(server, s.logger)
	if s.current != nil {
		// Ends Serve of the earlier server, but not its connections.
		_ = s.current.Close()
	}
	s.servers, s.current, s.limits = append(s.servers, server), l, limits
	// Serve returns when the server is shut down or closed.
	go func() { _ = server.Serve(l) }()
	return l
}

// stopAccepting closes the listener and returns the servers.
func (s *callerServers) stopAccepting() []*http.Server {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.servers
}

// Shutdown ends the servers when their requests have ended, or returns the error of ctx.
func (s *callerServers) Shutdown(ctx context.Context) error {
	var group errgroup.Group
	for _, server := range s.stopAccepting() {
		group.Go(func() error { return errors.Trace(server.Shutdown(ctx)) })
	}
	return group.Wait()
}

// Close ends the servers at once.
func (s *callerServers) Close() error {
	for _, server := range s.stopAccepting() {
		_ = server.Close()
	}
	return nil
}

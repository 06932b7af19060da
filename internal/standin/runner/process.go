package runner

import (
	"net"
	"net/http"
	"sync"
	"time"

	"rattantide/internal/framing"
	"rattantide/internal/telemetry"
)

// Process serves a handler at a loopback address and can crash: it then closes all its
// connections, refuses new ones for some time and serves again at the same address. It resets
// the connections that end an incomplete response, as nothing else shows that. It is safe for
// concurrent use.
type Process struct {
	handler      http.Handler
	restartAfter time.Duration
	address      string

	mu       sync.Mutex
	server   *http.Server
	restart  *time.Timer
	isClosed bool
	crashes  []time.Time
	startErr error
}

// StartProcess starts a Process that restarts after a crash with the given delay.
func StartProcess(handler http.Handler, restartAfter time.Duration) (*Process, error) {
	p := &Process{handler: handler, restartAfter: restartAfter, address: "127.0.0.1:0"}
	p.start()
	return p, p.startErr
}

// Address returns the address that the process listens on.
func (p *Process) Address() string { return p.address }

// Crashes returns the times of the crashes, in order.
func (p *Process) Crashes() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time(nil), p.crashes...)
}

// Crash ends the process unless it is down already.
func (p *Process) Crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.server == nil {
		return
	}
	p.crashes = append(p.crashes, time.Now())
	_ = p.server.Close()
	p.server = nil
	if !p.isClosed {
		p.restart = time.AfterFunc(p.restartAfter, p.start)
	}
}

// Close ends the process for good and returns the error of a failed start, if any.
func (p *Process) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	if p.restart != nil {
		p.restart.Stop()
	}
	if p.server != nil {
		_ = p.server.Close()
		p.server = nil
	}
	return p.startErr
}

func (p *Process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		return
	}
	listener, err := net.Listen("tcp4", p.address)
	if err != nil {
		p.startErr = err
		return
	}
	p.address = listener.Addr().String()
	server := &http.Server{Handler: p.handler, ReadHeaderTimeout: time.Minute}
	framing.Protect(server, telemetry.Discard())
	p.server = server
	go func() { _ = server.Serve(listener) }()
}

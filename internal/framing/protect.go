package framing

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/charmbracelet/log"
)

// Protection resets the connection of each response that ends with its connection unless its
// handler has returned, also if the process is killed. It is safe for concurrent use.
type Protection struct {
	logger *log.Logger

	mu sync.Mutex
	// armed holds the connections of responses in progress that end with their connection.
	armed map[*protectedConn]struct{}
	// isReset reports whether ResetIncomplete was called.
	isReset bool
}

// Protect makes a server that has not started use a Protection. Its handlers must call Begin for
// each response without a length, return only once a response is complete, and Abort otherwise.
func Protect(s *http.Server, logger *log.Logger) *Protection {
	p := &Protection{logger: logger, armed: map[*protectedConn]struct{}{}}
	connContext, handler := s.ConnContext, s.Handler
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, newProtectedConn(p, c))
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		defer c.resetIfArmed()
		handler.ServeHTTP(w, r)
		c.complete(w)
	})
	return p
}

// ResetIncomplete resets the connections of the responses in progress that end with their
// connection, also of later ones. It must be called before http.Server.Close, which tells
// callers over TLS that a response has ended.
func (p *Protection) ResetIncomplete() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isReset = true
	for c := range p.armed {
		_ = c.socket.Close()
	}
}

func (p *Protection) add(c *protectedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.armed[c] = struct{}{}
	if p.isReset {
		_ = c.socket.Close()
	}
}

func (p *Protection) remove(c *protectedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.armed, c)
}

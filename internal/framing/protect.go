package framing

import (
	"context"
	"net"
	"net/http"

	"github.com/charmbracelet/log"
)

// Protect makes a server that has not started reset the connection of each response that ends
// with its connection unless its handler has returned, also if the process is killed. Handlers
// must call Begin for each response without a length, return only once it is complete, and
// Abort otherwise.
func Protect(s *http.Server, logger *log.Logger) {
	connContext, handler := s.ConnContext, s.Handler
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, newProtectedConn(c, logger))
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		defer c.resetIfArmed()
		handler.ServeHTTP(w, r)
		c.complete(w)
	})
}

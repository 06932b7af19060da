package framing

import (
	"net"
	"net/http"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"

	"rattantide/internal/socket"
)

const (
	// lingerReset makes the kernel reset a connection when its socket is closed, by whichever
	// way the process ends, and lingerDefault makes it send what is left and an ordinary end.
	lingerReset   = 0
	lingerDefault = -1
)

// protectedConn is a connection of a server that Protect was called with. It belongs to the
// goroutine of the request in progress.
type protectedConn struct {
	logger *log.Logger
	// socket is the connection below TLS, whose end is not announced to the peer.
	socket net.Conn
	// isArmed reports whether the end of the connection would end the body of a response.
	isArmed bool
}

// connKey is the key of the protectedConn in the context of a connection's requests.
type connKey struct{}

func newProtectedConn(c net.Conn, logger *log.Logger) *protectedConn {
	return &protectedConn{logger: logger, socket: socket.Of(c)}
}

// connOf returns the connection of a request, or nil if its server is not protected.
func connOf(r *http.Request) *protectedConn {
	c, _ := r.Context().Value(connKey{}).(*protectedConn)
	return c
}

// arm makes each end of the connection a reset until complete.
func (c *protectedConn) arm() {
	if err := c.setLinger(lingerReset); err != nil {
		c.logger.Error("connection not protected, an incomplete response may look complete", "error", err)
	}
	c.isArmed = true
}

// complete makes the end of the connection an ordinary one again if all of a response has
// been written to the socket.
func (c *protectedConn) complete(w http.ResponseWriter) {
	if !c.isArmed {
		return
	}
	err := http.NewResponseController(w).Flush()
	if err == nil {
		err = c.setLinger(lingerDefault)
	}
	if err != nil {
		c.logger.Warn("response not completed, its connection is reset", "error", err)
		return
	}
	c.isArmed = false
}

// resetIfArmed closes the socket of an incomplete response before the server closes the
// connection, as over TLS that would announce an ordinary end.
func (c *protectedConn) resetIfArmed() {
	if !c.isArmed {
		return
	}
	c.isArmed = false
	_ = c.socket.Close()
}

func (c *protectedConn) setLinger(seconds int) error {
	lingering, ok := c.socket.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.NotSupportedf("reset of a %T", c.socket)
	}
	return errors.Trace(lingering.SetLinger(seconds))
}

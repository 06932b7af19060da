package framing

import (
	"net"
	"net/http"

	"github.com/juju/errors"

	"rattantide/internal/socket"
)

const (
	// lingerReset makes the kernel reset a connection when its socket is closed, by whichever
	// way the process ends, and lingerDefault makes it send what is left and an ordinary end.
	lingerReset   = 0
	lingerDefault = -1
)

// protectedConn is a connection of a server with a Protection. Except for its socket, it belongs
// to the goroutine of the request in progress.
type protectedConn struct {
	protection *Protection
	// socket is the connection below TLS, whose end is not announced to the peer.
	socket net.Conn
	// isArmed reports whether the end of the connection would end the body of a response.
	isArmed bool
}

// connKey is the key of the protectedConn in the context of a connection's requests.
type connKey struct{}

func newProtectedConn(p *Protection, c net.Conn) *protectedConn {
	return &protectedConn{protection: p, socket: socket.Of(c)}
}

// connOf returns the connection of a request, or nil if its server has none.
func connOf(r *http.Request) *protectedConn {
	c, _ := r.Context().Value(connKey{}).(*protectedConn)
	return c
}

// arm makes each end of the connection a reset until complete.
func (c *protectedConn) arm() {
	if err := c.setLinger(lingerReset); err != nil {
		c.protection.logger.Error("connection not protected, an incomplete response may look complete", "error", err)
	}
	c.isArmed = true
	c.protection.add(c)
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
		c.protection.logger.Warn("response not completed, its connection is reset", "error", err)
		return
	}
	c.disarm()
}

// resetIfArmed closes the socket of an incomplete response before the server closes the
// connection, as over TLS that would announce an ordinary end.
func (c *protectedConn) resetIfArmed() {
	if !c.isArmed {
		return
	}
	c.disarm()
	_ = c.socket.Close()
}

func (c *protectedConn) disarm() {
	c.isArmed = false
	c.protection.remove(c)
}

func (c *protectedConn) setLinger(seconds int) error {
	lingering, ok := c.socket.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.NotSupportedf("reset of a %T", c.socket)
	}
	return errors.Trace(lingering.SetLinger(seconds))
}

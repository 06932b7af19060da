package fleetdaemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"rattantide/internal/callerbody"
	"rattantide/internal/callerbudget"
)

const (
	// silentConnTime is how long a new connection that has sent no request is kept while
	// connections run short.
	silentConnTime = time.Second
	// idleShare is the share of the idle time after which an idle connection may be closed
	// while connections run short; ordinary callers do not use it any more.
	idleShare = 0.8
)

// callerConn is a connection of a caller that is charged to the budget of connections.
type callerConn struct {
	*net.TCPConn
	reservation *callerbudget.Reservation
	once        sync.Once
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.once.Do(c.reservation.Close)
	return c.TCPConn.Close()
}

// recordState lets connections be closed for others while they hold no request: those that
// have not sent any, and those that are idle.
func (l serverLimits) recordState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		conn.reservation.MakeRevocable(time.Now().Add(silentConnTime))
	case http.StateIdle:
		conn.reservation.MakeRevocable(time.Now().Add(time.Duration(idleShare * float64(l.idleTimeout))))
	case http.StateActive:
		conn.reservation.Pin()
	}
}

// withConnReservation lets the reader of a body make the connection revocable while the body is
// not complete.
func withConnReservation(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*callerConn); ok {
		return callerbody.WithConn(ctx, conn.reservation)
	}
	return ctx
}

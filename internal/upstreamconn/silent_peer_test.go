package upstreamconn

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"rattantide/internal/responsetest"
)

// Guards against requests and idle connections that wait without a limit for a peer whose
// connection fell silent for good.
func TestConnectionsGiveUpSilentPeers(t *testing.T) {
	const givenUpWithin = 4 * time.Second
	address := responsetest.Serve(t, func(net.Conn) {})
	c, err := dialTCP(context.Background(), address)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	raw, err := c.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	option := func(level, name int) (value int) {
		assert.NilError(t, raw.Control(func(fd uintptr) {
			value, err = unix.GetsockoptInt(int(fd), level, name)
		}))
		assert.NilError(t, err)
		return value
	}
	unacknowledged := time.Duration(option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)) * time.Millisecond
	assert.Assert(t, unacknowledged > 0 && unacknowledged <= givenUpWithin, "%s", unacknowledged)
	assert.Equal(t, option(unix.SOL_SOCKET, unix.SO_KEEPALIVE), 1)
	idle := time.Duration(option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)+option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)) * time.Second
	assert.Assert(t, idle <= givenUpWithin, "%s", idle)
}

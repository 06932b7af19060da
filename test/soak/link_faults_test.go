package soak

import (
	"bufio"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startEchoServer starts a server that sends each received line back, and returns
// its address. It is closed when the test ends.
func startEchoServer(t *testing.T) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				lines := bufio.NewReader(conn)
				for {
					line, err := lines.ReadString('\n')
					if err != nil {
						return
					}
					_, _ = conn.Write([]byte(line))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a soak test whose network faults have no effect: held data must
// not arrive before the state changes, a delay must apply in both directions, and a
// reset must reach the client as a connection reset.
func TestLinkFaults(t *testing.T) {
	l := startLink(t, startEchoServer(t))
	conn, err := net.Dial("tcp4", l.address())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	lines := bufio.NewReader(conn)
	roundTrip := func(limit time.Duration) error {
		if _, err := conn.Write([]byte("x\n")); err != nil {
			return err
		}
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(limit)))
		_, err := lines.ReadString('\n')
		return err
	}
	assert.NilError(t, roundTrip(10*time.Second))
	for _, state := range []linkState{{holdRequests: true}, {holdAnswers: true}} {
		l.setState(state)
		assert.ErrorContains(t, roundTrip(50*time.Millisecond), "timeout")
		l.setState(linkState{})
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err = lines.ReadString('\n')
		assert.NilError(t, err, "held data must arrive after the state is cleared")
	}
	l.setState(linkState{delay: 40 * time.Millisecond})
	start := time.Now()
	assert.NilError(t, roundTrip(10*time.Second))
	assert.Assert(t, time.Since(start) >= 80*time.Millisecond)
	l.resetConns()
	assert.ErrorContains(t, roundTrip(10*time.Second), "reset")
}

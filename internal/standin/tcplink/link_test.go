package tcplink

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

// Guards against tests whose network faults have no effect: held data must
// not arrive before the state changes, a delay must apply in both directions, and a
// reset must reach the client as a connection reset.
func TestLinkFaults(t *testing.T) {
	l, err := Start(startEchoServer(t))
	assert.NilError(t, err)
	defer l.Close()
	conn, err := net.Dial("tcp4", l.Address())
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
	for _, state := range []State{{HoldRequests: true}, {HoldAnswers: true}} {
		l.SetState(state)
		assert.ErrorContains(t, roundTrip(50*time.Millisecond), "timeout")
		l.SetState(State{})
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err = lines.ReadString('\n')
		assert.NilError(t, err, "held data must arrive after the state is cleared")
	}
	l.SetState(State{Delay: 40 * time.Millisecond})
	start := time.Now()
	assert.NilError(t, roundTrip(10*time.Second))
	assert.Assert(t, time.Since(start) >= 80*time.Millisecond)
	l.ResetConns()
	assert.ErrorContains(t, roundTrip(10*time.Second), "reset")
}

// Guards against tests of silent connections and of refused ones that affect the others: only
// connections that are open when they are silenced fall silent, and only new ones are refused.
func TestFaultsOfSomeConnections(t *testing.T) {
	l, err := Start(startEchoServer(t))
	assert.NilError(t, err)
	defer l.Close()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp4", l.Address())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	roundTrip := func(conn net.Conn, limit time.Duration) error {
		assert.NilError(t, conn.SetDeadline(time.Now().Add(limit)))
		if _, err := conn.Write([]byte("x\n")); err != nil {
			return err
		}
		_, err := bufio.NewReader(conn).ReadString('\n')
		return err
	}
	first := dial()
	assert.NilError(t, roundTrip(first, 10*time.Second))
	l.SilenceOpen()
	assert.ErrorContains(t, roundTrip(first, 50*time.Millisecond), "timeout")
	second := dial()
	assert.NilError(t, roundTrip(second, 10*time.Second))
	l.SetState(State{RefuseNew: true})
	// The reset may come before the dial has returned.
	refused, err := net.Dial("tcp4", l.Address())
	if err == nil {
		defer func() { _ = refused.Close() }()
		err = roundTrip(refused, 10*time.Second)
	}
	assert.ErrorContains(t, err, "reset")
	assert.NilError(t, roundTrip(second, 10*time.Second))
}

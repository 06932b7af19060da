package soak

import (
	"bufio"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// echo serves lines back until the test's end.
func echo(t *testing.T) string {
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

// Guards against a soak whose network faults do nothing: held data stays away
// until the state changes, delays are felt, and a reset is seen as one.
func TestLinkFaults(t *testing.T) {
	l := startLink(t, echo(t))
	conn, err := net.Dial("tcp4", l.address())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	lines := bufio.NewReader(conn)
	ask := func(limit time.Duration) error {
		if _, err := conn.Write([]byte("x\n")); err != nil {
			return err
		}
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(limit)))
		_, err := lines.ReadString('\n')
		return err
	}
	assert.NilError(t, ask(10*time.Second))
	for _, held := range []linkState{{holdRequests: true}, {holdAnswers: true}} {
		l.set(held)
		assert.ErrorContains(t, ask(50*time.Millisecond), "timeout")
		l.set(linkState{})
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err = lines.ReadString('\n')
		assert.NilError(t, err, "what was held arrives")
	}
	l.set(linkState{delay: 40 * time.Millisecond})
	begun := time.Now()
	assert.NilError(t, ask(10*time.Second))
	assert.Assert(t, time.Since(begun) >= 80*time.Millisecond)
	l.reset()
	assert.ErrorContains(t, ask(10*time.Second), "reset")
}

package gateway_test

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"rattantide/internal/gateway"
	"rattantide/internal/membership"
	"rattantide/internal/responsetest"
)

// unfinished answers each request with a head and a part of the body, and keeps the connection
// open.
func unfinished(t *testing.T, head, part string) (address string) {
	return responsetest.Serve(t, func(c net.Conn) {
		rawUpstream{head: head, body: part}.answer(c)
		responsetest.HoldOpen(t, c)
	})
}

// Runs in a process of its own: a daemon that has a path to an upstream and serves callers or
// another daemon, or one that has none and forwards requests.
func TestServingProcess(t *testing.T) {
	argument, ok := responsetest.ProcessArgument()
	if !ok {
		return
	}
	role, address, _ := strings.Cut(argument, " ")
	if role == "forwarding" {
		responsetest.ServeUntilKilled(t, newLostFixture(t, gateway.Helper{Name: "helping", Address: address}).address)
	}
	f := newFixture(t)
	f.chooser.upstreams = []membership.Upstream{{Name: "raw", Address: address}}
	if role == "helping" {
		responsetest.ServeUntilKilled(t, f.helper("helping").Address)
	}
	responsetest.ServeUntilKilled(t, f.address)
}

// partBytes is the size of a part of a body that is larger than what a daemon buffers.
const partBytes = 100 << 10

// Guards against a part of an answer without a length or chunks that reaches its caller with
// an ordinary end of the connection when a daemon on its way is killed.
func TestKilledDaemonLeavesNoCompleteAnswer(t *testing.T) {
	part := strings.Repeat(firstEvent, partBytes/len(firstEvent))
	for _, killed := range []string{"serving", "helping", "forwarding"} {
		for _, c := range []struct{ proto, path, head, part string }{
			{"HTTP/1.1", "/stream/1", headUntilClose, part},
			{"HTTP/1.1", "/order/1", headUntilClose, part},
			{"HTTP/1.0", "/lookup/1", headUntilClose, part},
			{"HTTP/1.0", "/stream/1", headChunked, chunk(part)},
		} {
			t.Run(killed+" "+c.proto+" "+c.path, func(t *testing.T) {
				upstream := unfinished(t, c.head, c.part)
				if killed == "forwarding" {
					helping := newFixture(t)
					helping.chooser.upstreams = []membership.Upstream{{Name: "raw", Address: upstream}}
					upstream = helping.helper("helping").Address
				}
				process := responsetest.StartProcess(t, "TestServingProcess", killed+" "+upstream)
				address := process.Address
				if killed == "helping" {
					address = newLostFixture(t, gateway.Helper{Name: "helping", Address: address}).address
				}
				request := fmt.Sprintf("POST %s %s\r\nHost: host.example\r\nX-Attempt-Id: a1\r\nAuthorization: Bearer key\r\nContent-Length: 0\r\n\r\n", c.path, c.proto)
				responsetest.CheckKilled(t, process, address, request)
			})
		}
	}
}

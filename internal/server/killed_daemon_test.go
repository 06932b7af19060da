package server

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/responsetest"
)

// rawRequest returns the bytes of a request.
func rawRequest(call, proto, body string) string {
	return fmt.Sprintf("%s %s\r\nHost: h\r\nAuthorization: Bearer %s\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n%s", call, proto, testToken, len(body), body)
}

// eventOf returns the first event of an engine's stream.
func eventOf(content, finish string) string {
	return fmt.Sprintf("id: 1\ndata: {\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n", content, finish)
}

// newServing returns a server whose upstream is at a URL and that also helps other daemons.
func newServing(t *testing.T, upstream string) *harness {
	pool := &fakePool{}
	pool.add("app", "v1", upstream)
	return newHelper(t, pool)
}

// Runs in a process of its own: a daemon that serves callers or another daemon, or one that
// forwards requests.
func TestServingProcess(t *testing.T) {
	argument, ok := responsetest.ProcessArgument()
	if !ok {
		return
	}
	role, target, _ := strings.Cut(argument, " ")
	if role == "forwarding" {
		responsetest.ServeUntilKilled(t, newLostHarnessAt(t, target).http.Listener.Addr().String())
	}
	responsetest.ServeUntilKilled(t, newServing(t, target).http.Listener.Addr().String())
}

// partBytes is the size of a part of a body that is larger than what is recorded of it.
const partBytes = 256 << 10

// Guards against a part of an answer without a length or chunks that reaches its caller with
// an ordinary end of the connection when a daemon on its way is killed.
func TestKilledDaemonLeavesNoCompleteAnswer(t *testing.T) {
	part := strings.Repeat("x", partBytes)
	for _, killed := range []string{"serving", "helping", "forwarding"} {
		for name, c := range map[string]struct{ proto, call, body, upstream string }{
			"service":               {"HTTP/1.1", "GET /orders/1", "", "HTTP/1.1 200 OK\r\n\r\n" + part},
			"order":                 {"HTTP/1.1", "POST /orders/1", "", "HTTP/1.1 200 OK\r\n\r\n" + part},
			"chunks to HTTP/1.0":    {"HTTP/1.0", "GET /orders/1", "", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", partBytes) + part + "\r\n"},
			"stream to HTTP/1.0":    {"HTTP/1.0", "POST /v1/chat/completions", streamBody, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + eventOf("piece", "null")},
			"no length to HTTP/1.0": {"HTTP/1.0", "GET /orders/1", "", "HTTP/1.1 200 OK\r\n\r\n" + part},
		} {
			t.Run(killed+" "+name, func(t *testing.T) {
				target := "http://" + responsetest.ServeUnfinished(t, c.upstream)
				if killed == "forwarding" {
					target = newServing(t, target).http.Listener.Addr().String()
				}
				process := responsetest.StartProcess(t, "TestServingProcess", killed+" "+target)
				address := process.Address
				if killed == "helping" {
					address = newLostHarnessAt(t, address).http.Listener.Addr().String()
				}
				responsetest.CheckKilled(t, process, address, rawRequest(c.call, c.proto, c.body))
			})
		}
	}
}

// Guards against a whole answer that is too large for one buffer and reaches a caller of HTTP/1.0
// without its length, so that a part of it looks complete.
func TestWholeAnswersStateTheirLength(t *testing.T) {
	large := strings.Repeat("x", 8<<10)
	stream := eventOf(large, `"stop"`) + "data: [DONE]\n\n"
	for name, c := range map[string]struct{ call, body, upstream string }{
		"recorded outcome": {"POST /orders/1", "", "HTTP/1.1 200 OK\r\nContent-Length: 8192\r\n\r\n" + large},
		"chat completion":  {"POST /v1/chat/completions", nonStreamBody, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + stream},
	} {
		t.Run(name, func(t *testing.T) {
			pool := &fakePool{}
			pool.add("app", "v1", "http://"+responsetest.ServeText(t, c.upstream))
			h := newHarness(t, pool, nil)
			for range 2 {
				response := responsetest.Begin(t, responsetest.Dial(t, h.http.Listener.Addr().String()), rawRequest(c.call, "HTTP/1.0", c.body))
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK, string(body))
				assert.Equal(t, response.ContentLength, int64(len(body)))
				assert.Assert(t, strings.Contains(string(body), large))
			}
		})
	}
}

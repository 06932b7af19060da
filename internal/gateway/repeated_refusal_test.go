package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
	"rattantide/internal/responsetest"
)

// repeatingUpstream refuses the first request on each connection. To the second one it
// sends that refusal again, although it runs the request.
type repeatingUpstream struct {
	// status is that of the refusal, and id the header line with the identifier of the
	// first request, or empty.
	status int
	id     string
	runs   atomic.Int64
}

func (u *repeatingUpstream) answer(c net.Conn) {
	reader := bufio.NewReader(c)
	for n := 0; ; n++ {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if n > 0 {
			u.runs.Add(1)
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", u.status, http.StatusText(u.status), u.id)
	}
}

// Guards against a refusal of an earlier request that comes once more on a kept connection
// and is taken for that of the next request, which then is called not run, or runs twice.
func TestRepeatedRefusalOnKeptConnection(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusBadRequest} {
		for name, id := range map[string]string{"earlier identifier": "X-Attempt-Id: a1\r\n", "no identifier": ""} {
			t.Run(fmt.Sprintf("%d, %s", status, name), func(t *testing.T) {
				f := newFixture(t)
				u := &repeatingUpstream{status: status, id: id}
				// The second upstream would run the request once more.
				f.chooser.upstreams = append([]membership.Upstream{{Name: "repeating", Address: responsetest.Serve(t, u.answer)}}, f.chooser.upstreams...)
				_, _, _, err := f.call("/order/1", "b", "X-Attempt-Id", "a1")
				assert.NilError(t, err)
				runsBefore := f.runCount()
				got, _, _, err := f.call("/order/1", "b", "X-Attempt-Id", "a2")
				assert.NilError(t, err)
				assert.Equal(t, u.runs.Load(), int64(1))
				assert.Equal(t, got, http.StatusBadGateway)
				assert.Equal(t, f.runCount(), runsBefore, "the request ran at two upstreams")
			})
		}
	}
}

// Guards against refusals of the request itself that count as unknown, so that the caller
// may not repeat it.
func TestOwnRefusalIsTrusted(t *testing.T) {
	for name, c := range map[string]struct {
		id     string
		reused bool
	}{
		"identifier, new connection":    {id: "X-Attempt-Id: a1\r\n"},
		"identifier, kept connection":   {id: "X-Attempt-Id: a1\r\n", reused: true},
		"no identifier, new connection": {},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			u := &repeatingUpstream{status: http.StatusServiceUnavailable, id: c.id}
			f.chooser.upstreams = []membership.Upstream{{Name: "repeating", Address: responsetest.Serve(t, u.answer)}}
			calls := 1
			if c.reused {
				calls = 2
			}
			for range calls {
				status, _, h, err := f.call("/order/1", "b", "X-Attempt-Id", "a1")
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusServiceUnavailable)
				assert.Assert(t, strings.TrimSpace(h.Get("Retry-After")) != "")
			}
		})
	}
}

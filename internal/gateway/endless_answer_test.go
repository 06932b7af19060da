package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/dispatch"
	"rattantide/internal/gateway"
)

// endlessUpstream answers each request with a head and then the same bytes until the
// connection is closed, on connections without buffers: what was written was read.
type endlessUpstream struct {
	repeated string
	mu       sync.Mutex
	written  []int
}

// dial returns a connection to the upstream.
func (u *endlessUpstream) dial() net.Conn {
	client, server := net.Pipe()
	go u.serve(server)
	return client
}

func (u *endlessUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, err = io.WriteString(c, headUntilClose+"X-Attempt-Id: "+request.Header.Get("X-Attempt-Id")+"\r\nX-Response-Seal: s\r\n\r\n")
	total := 0
	for err == nil && total < 4<<20 {
		var n int
		n, err = io.WriteString(c, u.repeated)
		total += n
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.written = append(u.written, total)
}

// Guards against a faulty upstream whose streams without a complete event use up the memory
// and the processor time of a daemon, against requests that end with it although another
// upstream could serve them, and against requests that are blamed for it.
func TestEndlessEventsAreCutOff(t *testing.T) {
	const callers = 100
	for name, repeated := range map[string]string{
		"one line":         strings.Repeat("x", 1000),
		"lines":            strings.Repeat("data: x\n", 125),
		"two-byte lines":   strings.Repeat("x\n", 500),
		"carriage returns": strings.Repeat("x\r", 500),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			faulty := &endlessUpstream{repeated: repeated}
			f.pools.Dial = func(ctx context.Context, address string) (net.Conn, error) {
				if address == f.chooser.upstreams[0].Address {
					return faulty.dial(), nil
				}
				return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
			}
			f.runners[1].Events = 3
			var group sync.WaitGroup
			errs := make(chan error, callers)
			for range callers {
				group.Go(func() {
					status, body, _, err := f.call("/resume/1", "b")
					if err != nil || status != http.StatusOK || strings.Count(body, "\n\n") != 3 {
						errs <- fmt.Errorf("status %d, %d bytes, error %w", status, len(body), err)
					}
				})
			}
			group.Wait()
			close(errs)
			assert.NilError(t, <-errs)
			faulty.mu.Lock()
			defer faulty.mu.Unlock()
			for _, written := range faulty.written {
				assert.Assert(t, written <= gateway.MaxEventBytes+3*gateway.StreamBufferBytes, "%d bytes were read", written)
			}
			now, peak := f.server.HeldBytes()
			assert.Equal(t, now, 0)
			assert.Assert(t, peak > 0 && peak <= gateway.MaxHeldBytes, "%d bytes were held", peak)
			for _, result := range f.chooser.results {
				assert.Assert(t, result.Status == dispatch.StatusOK || result.Status == dispatch.StatusError, "%v", result.Status)
			}
		})
	}
}

package peering

import (
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"rattantide/internal/telemetry"
)

// Guards against a holder of duties that asks all daemons of a large fleet at once, loses
// most of their answers and reports too few requests.
func TestCollectionIsSpreadAndRepeated(t *testing.T) {
	const daemons = 3 * collectBatch
	now := time.Unix(1000, 0)
	n, err := New(Options{
		IP: "127.0.8.1", Name: "self", SelfReport: func(bool) Report { return Report{Name: "self"} }, Now: func() time.Time { return now },
		Logger: telemetry.Discard(), Scope: tally.NoopScope,
	})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = n.conn.Close() })
	answer := func(ip string) {
		n.handle(ip, &message{Number: n.peers[ip].requestNumber, IsResponse: true, Report: Report{Name: ip, Process: "p", Ready: true}})
	}
	var ips []string
	for i := range daemons {
		ips = append(ips, fmt.Sprintf("127.0.8.%d", i+2))
	}
	n.Add(ips...)
	n.sendRequests(ips)
	for _, ip := range ips {
		answer(ip)
	}
	now = now.Add(time.Second)
	n.Collect(true)
	asked := 0
	for range ips {
		n.requestCollected()
		pending := 0
		for _, other := range ips {
			if n.peers[other].unanswered > 0 {
				pending++
			}
		}
		assert.Assert(t, pending-asked <= collectBatch, "%d requests at once", pending-asked)
		asked = pending
	}
	assert.Equal(t, asked, daemons)
	for _, ip := range ips[1:] {
		answer(ip)
	}
	n.Collect(false)
	assert.Equal(t, len(n.collectQueue), 0, "the last request may still be answered")
	now = now.Add(collectTimeout)
	n.Collect(false)
	assert.DeepEqual(t, n.collectQueue, ips[:1])
	n.requestCollected()
	answer(ips[0])
	n.Collect(false)
	assert.Equal(t, len(n.collectQueue), 0)
}

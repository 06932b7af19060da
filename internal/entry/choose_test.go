package entry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
)

func newFleet(domains, each int) []membership.Daemon {
	var out []membership.Daemon
	for i := range domains * each {
		domain := i % domains
		out = append(out, membership.Daemon{
			Name: fmt.Sprintf("d%d", i), Address: fmt.Sprintf("d%d:1", i),
			Domain: fmt.Sprintf("z%d", domain), Region: fmt.Sprintf("r%d", domain/3),
		})
	}
	return out
}

// TestChooseSpreads guards against callers that all connect to the same daemon, and
// against a second choice in the failure domain of the first.
func TestChooseSpreads(t *testing.T) {
	daemons := newFleet(3, 3)
	daemons[4].Leaving = true
	first := map[string]int{}
	for i := range 900 {
		answer := Choose(daemons, Caller{Workspace: "w", Salt: fmt.Sprint(i)}, time.Second)
		assert.Equal(t, len(answer.Entries), 8)
		first[answer.Entries[0].Address]++
		assert.Assert(t, answer.Entries[0].Domain != answer.Entries[1].Domain)
		assert.Assert(t, answer.Entries[1].Domain != answer.Entries[2].Domain)
		assert.Assert(t, answer.Entries[0].Domain != answer.Entries[2].Domain)
		for _, e := range answer.Entries {
			assert.Assert(t, e.Address != "d4:1", "answer has a daemon that is leaving")
		}
	}
	for address, n := range first {
		assert.Assert(t, n > 900/8/2 && n < 900/8*2, "%s is first for %d of 900", address, n)
	}
}

// TestChoosePrefersRegion guards against callers that are directed to another
// region first, and against answers without any daemon outside a region that may
// become unreachable.
func TestChoosePrefersRegion(t *testing.T) {
	answer := Choose(newFleet(6, 10), Caller{Workspace: "w", Region: "r1"}, time.Second)
	assert.Equal(t, len(answer.Entries), MaxEntries)
	inRegion := 0
	for i, e := range answer.Entries {
		if e.Domain >= "z3" {
			inRegion++
			assert.Equal(t, i+1, inRegion, "the region's daemons come first")
		}
	}
	assert.Equal(t, inRegion, MaxEntries-MaxEntries/4)
}

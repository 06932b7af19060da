package client

import (
	"sync"
	"time"
)

// directory holds the addresses of daemons and the order in which to try them. It
// is safe for concurrent use.
type directory struct {
	seeds []string

	mu         sync.Mutex
	entries    []string
	validUntil time.Time
	// failures holds the number of failures of each address since its last
	// success. Addresses with failures are tried after the others.
	failures map[string]int
}

func newDirectory(seeds []string) *directory {
	return &directory{seeds: seeds, failures: map[string]int{}}
}

// list returns all known addresses, without duplicates, and whether the entries
// are still valid. Seeds follow entries, and addresses with failures come last.
func (d *directory) list(now time.Time) ([]string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := map[string]bool{}
	var working, failing []string
	for _, source := range [][]string{d.entries, d.seeds} {
		for _, a := range source {
			switch {
			case listed[a]:
			case d.failures[a] > 0:
				failing = append(failing, a)
			default:
				working = append(working, a)
			}
			listed[a] = true
		}
	}
	return append(working, failing...), len(d.entries) > 0 && now.Before(d.validUntil)
}

// setEntries replaces the entries unless the new list is empty.
func (d *directory) setEntries(entries []Entry, validUntil time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(entries) == 0 {
		return
	}
	d.entries = d.entries[:0]
	for _, e := range entries {
		d.entries = append(d.entries, e.Address)
	}
	d.validUntil = validUntil
}

// recordResult records whether a call to address succeeded.
func (d *directory) recordResult(address string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ok {
		delete(d.failures, address)
		return
	}
	d.failures[address]++
	// The entries may be out of date.
	d.validUntil = time.Time{}
}

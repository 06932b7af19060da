package client

import (
	"sync"
	"time"
)

// directory holds the addresses of daemons in the order in which they are to be
// tried. It is safe for concurrent use.
type directory struct {
	seeds []string

	mu      sync.Mutex
	entries []string
	until   time.Time
	// failed counts failures since an address last worked; addresses that
	// failed are tried after the others.
	failed map[string]int
}

func newDirectory(seeds []string) *directory {
	return &directory{seeds: seeds, failed: map[string]int{}}
}

// list returns all known addresses, the seeds last, and whether the entries are
// still valid.
func (d *directory) list(now time.Time) ([]string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := map[string]bool{}
	var good, bad []string
	for _, source := range [][]string{d.entries, d.seeds} {
		for _, a := range source {
			switch {
			case seen[a]:
			case d.failed[a] > 0:
				bad = append(bad, a)
			default:
				good = append(good, a)
			}
			seen[a] = true
		}
	}
	return append(good, bad...), len(d.entries) > 0 && now.Before(d.until)
}

func (d *directory) set(entries []Entry, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(entries) == 0 {
		return
	}
	d.entries = d.entries[:0]
	for _, e := range entries {
		d.entries = append(d.entries, e.Address)
	}
	d.until = until
}

// report notes whether an address worked.
func (d *directory) report(address string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ok {
		delete(d.failed, address)
		return
	}
	d.failed[address]++
	// A failure suggests that the entries are out of date.
	d.until = time.Time{}
}

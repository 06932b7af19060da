package versionmove

import "sync"

// Ledger holds the latest tallies of each process of each daemon. It is safe for
// concurrent use.
type Ledger struct {
	mu        sync.Mutex
	processes map[string]map[string]Tally
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{processes: map[string]map[string]Tally{}} }

// Set replaces the tallies of a process. An empty map is ignored. The Ledger retains
// tallies, which the caller must not modify afterwards.
func (l *Ledger) Set(process string, tallies map[string]Tally) {
	if len(tallies) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.processes[process] = tallies
}

// Total returns the sum of a version's tallies over all processes.
func (l *Ledger) Total(service, version string) Tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum Tally
	for _, tallies := range l.processes {
		sum = sum.add(tallies[Key(service, version)])
	}
	return sum
}

package versionmove

import (
	"maps"
	"sync"
)

// Ledger holds the latest tallies of each process of each daemon. It is safe for
// concurrent use.
type Ledger struct {
	mu        sync.Mutex
	processes map[string]map[string]Tally
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{processes: map[string]map[string]Tally{}} }

// Set replaces the tallies of a process. An empty map replaces nothing. The Ledger retains
// tallies, which the caller must not modify afterwards.
func (l *Ledger) Set(process string, tallies map[string]Tally) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.processes[process]; known && len(tallies) == 0 {
		return
	}
	l.processes[process] = tallies
}

// Processes returns the latest tallies by process, which the caller must not modify.
func (l *Ledger) Processes() map[string]map[string]Tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.processes)
}

// HasAll reports whether all of the named processes have reported tallies.
func (l *Ledger) HasAll(processes []string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, process := range processes {
		if _, known := l.processes[process]; !known {
			return false
		}
	}
	return true
}

// Routes returns the sums of a version's tallies over all processes by route.
func (l *Ledger) Routes(service, version string) map[string]Tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := map[string]Tally{}
	for _, tallies := range l.processes {
		for key, t := range tallies {
			if route, ok := routeOf(service, version, key); ok {
				sums[route] = sums[route].add(t)
			}
		}
	}
	return sums
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

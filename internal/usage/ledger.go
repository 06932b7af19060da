package usage

import "sync"

// Ledger holds the latest counts of each process of each daemon, including processes
// that have terminated. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	windows map[int64]map[string]Counts
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{windows: map[int64]map[string]Counts{}} }

// Merge updates the counts of a process with those of a report. Counts only grow, so
// an older report that arrives late has no effect.
func (l *Ledger) Merge(process string, windows map[int64]Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for window, counts := range windows {
		byProcess := l.windows[window]
		if byProcess == nil {
			byProcess = map[string]Counts{}
			l.windows[window] = byProcess
			deleteExpired(l.windows, window)
		}
		stored := byProcess[process]
		if stored == nil {
			stored = Counts{}
			byProcess[process] = stored
		}
		for workspace, n := range counts {
			stored[workspace] = max(stored[workspace], n)
		}
	}
}

// Total returns the counts of a window, summed over all processes.
func (l *Ledger) Total(window int64) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := Counts{}
	for _, counts := range l.windows[window] {
		for workspace, n := range counts {
			total[workspace] += n
		}
	}
	return total
}

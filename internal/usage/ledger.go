package usage

import "sync"

// Ledger holds the latest counts of each process of each daemon, also of those
// that are gone. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	windows map[int64]map[string]Counts
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{windows: map[int64]map[string]Counts{}} }

// Set takes over the counts of a process. Counts only grow, so an older report
// that arrives late changes nothing.
func (l *Ledger) Set(process string, windows map[int64]Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for window, counts := range windows {
		byProcess := l.windows[window]
		if byProcess == nil {
			byProcess = map[string]Counts{}
			l.windows[window] = byProcess
			l.forget(window)
		}
		held := byProcess[process]
		if held == nil {
			held = Counts{}
			byProcess[process] = held
		}
		for workspace, n := range counts {
			held[workspace] = max(held[workspace], n)
		}
	}
}

// forget drops the windows that are long over. The lock is held.
func (l *Ledger) forget(latest int64) {
	for window := range l.windows {
		if window < latest-keepWindows {
			delete(l.windows, window)
		}
	}
}

// Total returns the counts of a window over all processes.
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

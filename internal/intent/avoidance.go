package intent

import (
	"sync"
	"time"
)

// avoidFor is how long nothing is forwarded to a daemon that did not take an
// intent. A daemon that hangs would otherwise delay each intent of its shards
// until the instance list drops it.
const avoidFor = 10 * time.Second

// avoidance remembers the daemons that did not answer, by address. It is safe
// for concurrent use.
type avoidance struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (a *avoidance) add(address string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.until == nil {
		a.until = map[string]time.Time{}
	}
	a.until[address] = now.Add(avoidFor)
}

// current returns the addresses to avoid; nil when there are none.
func (a *avoidance) current(now time.Time) map[string]bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out map[string]bool
	for address, until := range a.until {
		if !now.Before(until) {
			delete(a.until, address)
			continue
		}
		if out == nil {
			out = map[string]bool{}
		}
		out[address] = true
	}
	return out
}

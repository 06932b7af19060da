package intent

import (
	"sync"
	"time"
)

// avoidDuration is how long nothing is forwarded to a daemon that failed to
// answer. Otherwise a daemon that hangs would delay each intent of its shards
// until it is removed from the instance list.
const avoidDuration = 10 * time.Second

// avoidList holds the addresses of daemons that failed to answer. It is safe
// for concurrent use.
type avoidList struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (a *avoidList) add(address string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.until == nil {
		a.until = map[string]time.Time{}
	}
	a.until[address] = now.Add(avoidDuration)
}

// current returns the addresses to avoid, or nil when there are none, and
// removes expired entries.
func (a *avoidList) current(now time.Time) map[string]bool {
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

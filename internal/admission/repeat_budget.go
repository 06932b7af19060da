package admission

import (
	"sync"
	"time"
)

const (
	repeatSlots = 20
	// repeatMargin is the part of the budget that is used. The rest covers
	// requests that other daemons count in another window.
	repeatMargin = 0.8
)

// RepeatBudget bounds the repeats of all daemons together: within a sliding window
// a share of the requests and a fixed number. Each daemon spends a share of its
// own first attempts and its part of the fixed number. It is safe for concurrent
// use.
type RepeatBudget struct {
	// Bound returns the share of requests that may be repeated, and this daemon's
	// part of the fixed number of repeats. Both may change.
	Bound func() (share, fixed float64)
	// Window is the length of the sliding window.
	Window time.Duration
	// Now is the clock.
	Now func() time.Time

	mu    sync.Mutex
	pools map[string]*repeatWindow
}

// repeatWindow counts first attempts and repeats by slots of the window.
type repeatWindow struct {
	slots [repeatSlots]struct{ firsts, repeats float64 }
	last  int64
}

func (w *repeatWindow) advance(now time.Time, window time.Duration) int {
	slot := now.UnixNano() / int64(window/(repeatSlots-1))
	if slot-w.last >= repeatSlots {
		*w = repeatWindow{last: slot}
	}
	for w.last < slot {
		w.last++
		w.slots[w.last%repeatSlots] = struct{ firsts, repeats float64 }{}
	}
	return int(w.last % repeatSlots)
}

func (b *RepeatBudget) pool(name string) *repeatWindow {
	if b.pools == nil {
		b.pools = map[string]*repeatWindow{}
	}
	w := b.pools[name]
	if w == nil {
		w = &repeatWindow{}
		b.pools[name] = w
	}
	return w
}

// First counts the first attempt of a request.
func (b *RepeatBudget) RecordFirst(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.pool(pool)
	w.slots[w.advance(b.Now(), b.Window)].firsts++
}

// Take takes a repeat and reports whether the budget allows it.
func (b *RepeatBudget) Take(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.pool(pool)
	at := w.advance(b.Now(), b.Window)
	firsts, repeats := 0.0, 0.0
	for _, s := range w.slots {
		firsts += s.firsts
		repeats += s.repeats
	}
	share, fixed := b.Bound()
	if repeats+1 > repeatMargin*(share*firsts+fixed) {
		return false
	}
	w.slots[at].repeats++
	return true
}

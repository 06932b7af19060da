package objectclient

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// timeHeader carries the store's time in Unix milliseconds.
const timeHeader = "X-Store-Time-Ms"

// maxStep is the largest step back of the store's time that is taken for a
// delayed answer; a larger one means that the store's clock was set.
const maxStep = time.Minute

// driftShare is the share of the elapsed time by which the local clock may run
// faster than the store's: 500 ppm, several times what clocks usually show.
const driftShare = 2000

// clock estimates the store's time: the time of the best answer plus the
// monotonic time that has passed since it arrived, less a drift allowance. The
// estimate lags by the answer's way back, so it is never ahead of the store.
type clock struct {
	mu     sync.Mutex
	store  time.Time
	seenAt time.Time
}

func (c *clock) observe(header http.Header, receivedAt time.Time) {
	ms, err := strconv.ParseInt(header.Get(timeHeader), 10, 64)
	if err != nil {
		return
	}
	at := time.UnixMilli(ms)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.seenAt.IsZero() {
		// An answer that was delayed on its way must not set the time back.
		if behind := c.at(receivedAt).Sub(at); behind > 0 && behind < maxStep {
			return
		}
	}
	c.store, c.seenAt = at, receivedAt
}

func (c *clock) now() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seenAt.IsZero() {
		return time.Time{}, false
	}
	return c.at(time.Now()), true
}

func (c *clock) at(local time.Time) time.Time {
	elapsed := local.Sub(c.seenAt)
	return c.store.Add(elapsed - elapsed/driftShare)
}

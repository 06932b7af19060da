package objectclient

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// storeTimeHeader is the response header with the store's time in Unix
// milliseconds.
const storeTimeHeader = "X-Store-Time-Ms"

// maxBackwardStep is the largest backward step of the store's time that is
// attributed to a delayed response. A larger step means that the store's clock
// was reset.
const maxBackwardStep = time.Minute

// driftDivisor is the inverse of the drift allowance: the local clock may run
// faster than the store's by 1/2000 of the elapsed time. This is 500 ppm, several
// times the usual drift of clocks.
const driftDivisor = 2000

// storeClock estimates the store's time: the store time in the response that gave
// the latest estimate, plus the monotonic time since that response was received,
// less a drift allowance. The estimate lags by the network delay of the response,
// so it is never ahead of the store's time. It is safe for concurrent use.
type storeClock struct {
	mu         sync.Mutex
	storeTime  time.Time
	receivedAt time.Time
}

// observe updates the estimate from the header of a response received at
// receivedAt.
func (c *storeClock) observe(header http.Header, receivedAt time.Time) {
	ms, err := strconv.ParseInt(header.Get(storeTimeHeader), 10, 64)
	if err != nil {
		return
	}
	reportedTime := time.UnixMilli(ms)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.receivedAt.IsZero() {
		// A delayed response must not set the estimate back.
		if behind := c.estimateAt(receivedAt).Sub(reportedTime); behind > 0 && behind < maxBackwardStep {
			return
		}
	}
	c.storeTime, c.receivedAt = reportedTime, receivedAt
}

// now returns the estimated store time, and false if no response was received
// yet.
func (c *storeClock) now() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receivedAt.IsZero() {
		return time.Time{}, false
	}
	return c.estimateAt(time.Now()), true
}

// estimateAt returns the estimated store time at the given local time. The caller
// holds mu.
func (c *storeClock) estimateAt(local time.Time) time.Time {
	elapsed := local.Sub(c.receivedAt)
	return c.storeTime.Add(elapsed - elapsed/driftDivisor)
}

package objectclient

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestClockIsNeverAhead guards against an estimate that is ahead of the store's time
// when responses are delayed and the local clock drifts. A lease would then be acquired
// before it has expired.
func TestClockIsNeverAhead(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var c storeClock
		local := time.Now()
		store := time.UnixMilli(1_700_000_000_000)
		drift := rapid.Int64Range(-400, 400).Draw(rt, "drift in ppm")
		for range rapid.IntRange(1, 20).Draw(rt, "answers") {
			// The header is rounded down to milliseconds.
			header := http.Header{storeTimeHeader: {strconv.FormatInt(store.UnixMilli(), 10)}}
			delay := time.Duration(rapid.IntRange(0, 3000).Draw(rt, "delay")) * time.Millisecond
			idle := time.Duration(rapid.IntRange(0, 600_000).Draw(rt, "idle")) * time.Millisecond
			advance := func(d time.Duration) {
				store = store.Add(d)
				local = local.Add(d + d*time.Duration(drift)/1_000_000)
			}
			advance(delay)
			c.observe(header, local)
			advance(idle)
			if estimate := c.estimateAt(local); estimate.After(store) {
				rt.Fatalf("estimate is %v ahead", estimate.Sub(store))
			}
		}
	})
}

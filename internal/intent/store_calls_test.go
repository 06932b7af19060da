package intent

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// loadCost holds the object API calls and the kilobytes written per order, and the
// latency of Begin, under a load of orders.
type loadCost struct {
	callsPerOrder float64
	kbPerOrder    float64
	p50, p99      time.Duration
}

// measureLoad runs orders at a rate over nine daemons. In the synctest bubble's
// time, a call to the object API takes 10 ms and an order 200 ms.
func measureLoad(t *testing.T, rate int, length time.Duration) (m loadCost) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9, 16, nil)
		f.store.SetLatency(10 * time.Millisecond)
		for _, l := range f.logs {
			l.options.SegmentBytes, l.options.WriteBurst = 256<<10, 20
			l.limiter.SetLimit(20)
			l.limiter.SetBurst(20)
		}
		orders := rate * int(length/time.Second)
		times := make([]time.Duration, orders)
		var running sync.WaitGroup
		for i := range orders {
			running.Go(func() {
				l := f.logs[i%len(f.logs)]
				name := fmt.Sprint("order-", i)
				started := time.Now()
				grant, err := l.Begin(t.Context(), key(name), "digest", name)
				times[i] = time.Since(started)
				if err != nil || !grant.Granted {
					t.Errorf("order %d: %+v %v", i, grant, err)
					return
				}
				time.Sleep(200 * time.Millisecond)
				l.Finish(key(name), name, Outcome{Execution: ExecutionDone, Status: 200, Body: []byte("accepted")})
			})
			time.Sleep(time.Second / time.Duration(rate))
		}
		running.Wait()
		for _, l := range f.logs {
			flush(t, l)
		}
		time.Sleep(time.Second)
		calls := f.store.Calls()
		slices.Sort(times)
		m = loadCost{
			callsPerOrder: float64(calls.Total()) / float64(orders),
			kbPerOrder:    float64(calls.PutBytes) / float64(orders) / 1000,
			p50:           times[len(times)/2], p99: times[len(times)*99/100],
		}
	})
	return m
}

// TestCallsPerOrderFallAsRateRises guards against object API calls that grow
// in proportion to the orders, which would exhaust the store's limit of
// several hundred writes per second.
func TestCallsPerOrderFallAsRateRises(t *testing.T) {
	var measured []loadCost
	for _, rate := range []int{1, 10, 100, 1000} {
		m := measureLoad(t, rate, 20*time.Second)
		t.Logf("%4d orders/s: %.3f calls/order, %5.1f kB written/order, begin p50 %v p99 %v", rate, m.callsPerOrder, m.kbPerOrder, m.p50, m.p99)
		measured = append(measured, m)
	}
	for i := 1; i < len(measured); i++ {
		assert.Assert(t, measured[i].callsPerOrder < measured[i-1].callsPerOrder)
	}
	assert.Assert(t, measured[3].callsPerOrder < measured[0].callsPerOrder/5)
}

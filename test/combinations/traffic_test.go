package combinations

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rattantide/client"
	"rattantide/internal/engineclient"
	"rattantide/internal/proc"
)

const (
	streamCallers    = 6
	streamsPerCaller = 2
	tokensPerStream  = 250
	orderCallers     = 6
	ordersPerCaller  = 8
	totalTokens      = streamCallers * streamsPerCaller * tokensPerStream
	totalOrders      = orderCallers * ordersPerCaller
	// readTimeout is how long a stream caller waits for the next byte.
	readTimeout = 3 * time.Second
	// maxOrderPause bounds the pause between two orders of a caller, which normally
	// ends when the streams have received enough tokens.
	maxOrderPause = time.Second
)

// traffic holds the requests of all callers of a seed and their results.
type traffic struct {
	progress progress
	streams  []*stream
	orders   []*order
}

// newTraffic generates the requests of a seed.
func newTraffic(seed int64) *traffic {
	r := rand.New(rand.NewPCG(uint64(seed), 2))
	t := &traffic{}
	for n := range streamCallers * streamsPerCaller {
		t.streams = append(t.streams, &stream{
			seed:     r.Int64N(1 << 40),
			messages: []engineclient.Message{{Role: "user", Content: fmt.Sprintf("draft brief %d of seed %d", n, seed)}},
		})
	}
	for n := range orderCallers * ordersPerCaller {
		t.orders = append(t.orders, &order{
			key: fmt.Sprintf("seed-%d-order-%d", seed, n), body: fmt.Sprintf(`{"die":%d}`, n), repeatsWhenDone: r.IntN(4) == 0,
		})
	}
	return t
}

// run sends the traffic and returns when all callers have finished.
func (t *traffic) run(ctx context.Context, daemons []string) error {
	var callers sync.WaitGroup
	for n := range streamCallers {
		// Each caller knows all daemons; the callers start at different ones.
		entries := slices.Concat(daemons[n%len(daemons):], daemons[:n%len(daemons)])
		c, err := client.New(client.Options{Entries: entries, Token: workspaceToken, IdleTimeout: readTimeout, Attempts: 24})
		if err != nil {
			return err
		}
		callers.Go(func() {
			defer c.Close()
			for _, s := range t.streams[n*streamsPerCaller : (n+1)*streamsPerCaller] {
				s.run(ctx, c, &t.progress)
			}
		})
	}
	for n := range orderCallers {
		callers.Go(func() { t.sendOrders(ctx, daemons, n) })
	}
	callers.Wait()
	return nil
}

// sendOrders sends the orders of one caller. They are spread over the tokens that the
// streams receive, so that a fault can occur at any point of an order.
func (t *traffic) sendOrders(ctx context.Context, daemons []string, caller int) {
	for n, o := range t.orders[caller*ordersPerCaller : (caller+1)*ordersPerCaller] {
		_ = proc.Eventually(ctx, maxOrderPause, nil, t.progress.reached(int64(n*totalTokens/ordersPerCaller), 0))
		o.run(ctx, daemons, caller+n, &t.progress)
	}
}

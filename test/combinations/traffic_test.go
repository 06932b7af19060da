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
	allTokens        = streamCallers * streamsPerCaller * tokensPerStream
	allOrders        = orderCallers * ordersPerCaller
	// patience is how long a caller waits for the next byte.
	patience = 3 * time.Second
	// orderPause bounds the wait for the tokens that space orders out.
	orderPause = time.Second
)

// traffic is what the callers of a seed send.
type traffic struct {
	progress progress
	streams  []*stream
	orders   []*order
}

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
			key: fmt.Sprintf("seed-%d-order-%d", seed, n), body: fmt.Sprintf(`{"die":%d}`, n), again: r.IntN(4) == 0,
		})
	}
	return t
}

// run sends the traffic and returns when each caller has its last answer.
func (t *traffic) run(ctx context.Context, daemons []string) error {
	var callers sync.WaitGroup
	for n := range streamCallers {
		// Each caller knows all daemons and begins with another one.
		entries := slices.Concat(daemons[n%len(daemons):], daemons[:n%len(daemons)])
		c, err := client.New(client.Options{Entries: entries, Token: workspaceToken, Patience: patience, Attempts: 24})
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
		callers.Go(func() { t.order(ctx, daemons, n) })
	}
	callers.Wait()
	return nil
}

// order sends the orders of one caller, spaced out by the tokens that the
// streams receive, so that faults find orders at any moment.
func (t *traffic) order(ctx context.Context, daemons []string, caller int) {
	for n, o := range t.orders[caller*ordersPerCaller : (caller+1)*ordersPerCaller] {
		_ = proc.Eventually(ctx, orderPause, nil, t.progress.reached(int64(n*allTokens/ordersPerCaller), 0))
		o.run(ctx, daemons, caller+n, &t.progress)
	}
}

package orders

import (
	"context"
	"sync/atomic"
	"time"

	"rattantide/internal/configsync"
	"rattantide/internal/engineclient"
	"rattantide/internal/membership"
)

// holder is the surroundings of one Controller. It is its Leases and its
// Engines and can be paused at three points of an order.
type holder struct {
	*engineclient.Client
	fixture *fixture
	config  *configsync.Cache
	table   *membership.Table

	// beforeCheck and afterCheck pause the process around the last check of the
	// lease; flight delays the order on the network, however long its caller
	// waits. Each is used once.
	beforeCheck, afterCheck, flight atomic.Int64
	// checks counts Held within a pass: the second is before sending.
	checks atomic.Int64
	// refused counts the orders that fail, from 1 on; 0 lets them through.
	refused atomic.Int64
}

func pause(d *atomic.Int64) { time.Sleep(time.Duration(d.Swap(0))) }

// Want implements Leases.
func (h *holder) Want(string) { h.checks.Store(0) }

// Held implements Leases.
func (h *holder) Held(string) (int64, bool) {
	last := h.checks.Add(1) > 1
	if last {
		pause(&h.beforeCheck)
	}
	h.fixture.mu.Lock()
	fence, held := h.fixture.fence, h.fixture.granted == h
	h.fixture.mu.Unlock()
	if last {
		pause(&h.afterCheck)
	}
	return fence, held
}

// Order implements Engines.
func (h *holder) Order(ctx context.Context, address string, order engineclient.Order) (*engineclient.OrderState, error) {
	if h.refused.Load() > 0 {
		h.refused.Add(1)
		return nil, context.DeadlineExceeded
	}
	delay := time.Duration(h.flight.Swap(0))
	if delay == 0 {
		return h.Client.Order(ctx, address, order)
	}
	// The bytes have left the process; giving up the call does not stop them.
	go func() {
		time.Sleep(delay)
		if h.fixture.ctx.Err() == nil {
			_, _ = h.Client.Order(h.fixture.ctx, address, order)
		}
	}()
	<-ctx.Done()
	return nil, ctx.Err()
}

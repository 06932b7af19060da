package lease

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"rattantide/internal/objectclient"
	"rattantide/internal/objecttest"
)

// partitionedStore is one daemon's access to a store, which can fail while other
// daemons still reach the store.
type partitionedStore struct {
	*objecttest.Store
	isCut atomic.Bool
}

var errUnreachable = errors.New("store not reachable from this daemon")

func (c *partitionedStore) Get(ctx context.Context, kind, name string) (*objectclient.Object, error) {
	if c.isCut.Load() {
		return nil, errUnreachable
	}
	return c.Store.Get(ctx, kind, name)
}

func (c *partitionedStore) Put(ctx context.Context, kind, name string, version objectclient.Revision, value json.RawMessage) (*objectclient.Object, error) {
	if c.isCut.Load() {
		return nil, errUnreachable
	}
	return c.Store.Put(ctx, kind, name, version, value)
}

// Only the holder of a duty cannot reach the store. Guards against a duty that
// nobody performs for the rest of the lease: the holder must yield it, must never
// act under it again, and at most one daemon holds it at any time.
func TestHolderWithoutStoreYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.New()
		managers := newGroup(store, 5)
		stores := make([]*partitionedStore, len(managers))
		ctx, cancel := context.WithCancel(t.Context())
		for i, m := range managers {
			stores[i] = &partitionedStore{Store: store}
			m.options.Store, m.options.TTL, m.options.ExpiresByObservation = stores[i], 6*time.Second, true
			m.options.PeersReachStore = func(time.Time) bool { return true }
			m.Want("move")
			go func() { _ = m.Run(ctx) }()
		}
		time.Sleep(10 * time.Second)
		before, fence := holders(managers, "move")
		assert.Equal(t, len(before), 1)
		stores[before[0]].isCut.Store(true)
		cutAt := time.Now()
		var yieldedAt, takenOverAt time.Time
		for takenOverAt.IsZero() && time.Since(cutAt) < time.Minute {
			time.Sleep(50 * time.Millisecond)
			for i, m := range managers {
				if i != before[0] {
					m.RecordYield("move", managers[before[0]].YieldedFence("move"))
				}
			}
			now, next := holders(managers, "move")
			assert.Assert(t, len(now) <= 1)
			switch {
			case len(now) == 0 && yieldedAt.IsZero():
				yieldedAt = time.Now()
			case len(now) == 1 && now[0] != before[0]:
				assert.Assert(t, next > fence)
				takenOverAt = time.Now()
			}
		}
		assert.Assert(t, !takenOverAt.IsZero())
		assert.Assert(t, takenOverAt.Sub(yieldedAt) <= time.Second, "nobody held the duty for %s", takenOverAt.Sub(yieldedAt))
		stores[before[0]].isCut.Store(false)
		time.Sleep(time.Minute)
		now, _ := holders(managers, "move")
		assert.Equal(t, len(now), 1)
		assert.Assert(t, now[0] != before[0], "the daemon that yielded the lease holds it again")
		cancel()
		synctest.Wait()
	})
}

// Guards against a holder that yields its lease after a single lost answer, or
// during an outage of the store for all daemons, when no other daemon could
// acquire it.
func TestHolderKeepsLeaseWithoutReasonToYield(t *testing.T) {
	for _, c := range []struct {
		name            string
		outage          time.Duration
		peersReachStore bool
	}{
		{"short", 500 * time.Millisecond, true},
		{"for all", 2 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := objecttest.New()
				m := NewManager(Options{Store: store, Now: time.Now, Holder: "a", TTL: 15 * time.Second, PeersReachStore: func(time.Time) bool { return c.peersReachStore }})
				ctx, cancel := context.WithCancel(t.Context())
				m.Want("move")
				go func() { _ = m.Run(ctx) }()
				synctest.Wait()
				fence, ok := m.Held("move")
				assert.Assert(t, ok)
				time.Sleep(5900 * time.Millisecond)
				store.SetOutage(true)
				time.Sleep(c.outage)
				store.SetOutage(false)
				time.Sleep(10 * time.Second)
				current, ok := m.Held("move")
				assert.Assert(t, ok)
				assert.Equal(t, current, fence)
				assert.Equal(t, m.YieldedFence("move"), int64(0))
				cancel()
				synctest.Wait()
			})
		})
	}
}

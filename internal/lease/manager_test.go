package lease

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rattantide/internal/bootclock"
	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/objecttest"
)

// newGroup returns the Managers of count daemons that have each other in their
// tables.
func newGroup(store objectclient.Store, count int) []*Manager {
	var instances []membership.Instance
	for i := range count {
		name := fmt.Sprintf("d%d", i)
		instances = append(instances, membership.Instance{Name: name, Address: name, Role: membership.RoleDaemon, State: membership.StateLive})
	}
	var managers []*Manager
	for _, instance := range instances {
		table := membership.NewTable(membership.Daemon{Name: instance.Name, Address: instance.Address}, membership.Options{})
		table.ApplyList(membership.InstanceList{Revision: 1, Instances: instances})
		managers = append(managers, NewManager(Options{Store: store, Now: time.Now, Holder: instance.Name, Table: table}))
	}
	return managers
}

// holders returns the indexes of the Managers that hold a duty, and the fencing
// token of the last one.
func holders(managers []*Manager, duty string) (found []int, fence int64) {
	for i, m := range managers {
		if f, ok := m.Held(duty); ok {
			found, fence = append(found, i), f
		}
	}
	return found, fence
}

// Guards against two holders, against a duty without one after its holder is gone,
// and against calls that grow with the number of daemons.
func TestOneHolderAndTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.New()
		managers := newGroup(store, 9)
		cancels := make([]context.CancelFunc, len(managers))
		for i, m := range managers {
			var ctx context.Context
			ctx, cancels[i] = context.WithCancel(t.Context())
			m.Want("move")
			go func() { _ = m.Run(ctx) }()
		}
		time.Sleep(20 * time.Second)
		first, firstFence := holders(managers, "move")
		assert.Equal(t, len(first), 1)
		assert.Equal(t, managers[first[0]].Rank("move"), 0)
		before, puts := store.Calls().Total(), store.Calls().Puts
		time.Sleep(10 * time.Minute)
		t.Logf("calls in 10 min with 9 daemons: %d, of which renewals: %d", store.Calls().Total()-before, store.Calls().Puts-puts)
		assert.Assert(t, store.Calls().Total()-before < 10*60/2, "more than one call per 2 s for a duty")

		// The holder stops during an outage of the store, so nobody releases the
		// lease.
		cancels[first[0]]()
		store.SetOutage(true)
		time.Sleep(time.Second)
		synctest.Wait()
		store.SetOutage(false)
		time.Sleep(3 * time.Minute)
		second, secondFence := holders(managers, "move")
		assert.Equal(t, len(second), 1)
		assert.Assert(t, secondFence > firstFence)
		for _, cancel := range cancels {
			cancel()
		}
	})
}

// Guards against a holder that acts after its lease expired, because it could not
// renew it or was suspended.
func TestHolderStopsBeforeExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.New()
		m := NewManager(Options{Store: store, Now: time.Now, Holder: "a", TTL: 15 * time.Second})
		ctx, cancel := context.WithCancel(t.Context())
		m.Want("move")
		go func() { _ = m.Run(ctx) }()
		synctest.Wait()
		fence, ok := m.Held("move")
		assert.Assert(t, ok)
		o, err := store.Get(t.Context(), objectKind, "move")
		assert.NilError(t, err)
		assert.Equal(t, fence, int64(o.Version))
		time.Sleep(7 * time.Second)
		renewed, ok := m.Held("move")
		assert.Assert(t, ok)
		assert.Equal(t, renewed, fence, "a renewal must keep the fencing token")
		store.SetOutage(true)
		time.Sleep(14 * time.Second)
		_, ok = m.Held("move")
		assert.Assert(t, !ok)
		store.SetOutage(false)
		cancel()
		synctest.Wait()
	})
}

// Guards against a leaving daemon that acquires a duty, or holds one until its
// lease expires.
func TestLeavingDaemonReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.New()
		managers := newGroup(store, 2)
		ctx, cancel := context.WithCancel(t.Context())
		for _, m := range managers {
			m.Want("move")
			go func() { _ = m.Run(ctx) }()
		}
		time.Sleep(30 * time.Second)
		first, _ := holders(managers, "move")
		assert.Equal(t, len(first), 1)
		table := managers[first[0]].options.Table
		table.Announce(table.Announcement(false))
		managers[1-first[0]].options.Table.Announce(table.Announcement(false))
		time.Sleep(time.Minute)
		second, _ := holders(managers, "move")
		assert.DeepEqual(t, second, []int{1 - first[0]})
		cancel()
		synctest.Wait()
	})
}

// Guards against two holders at the same time, and against a fencing token that
// does not grow, under random faults of the object API.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 5, 30).Draw(rt, "steps")
		// Failing inside the synctest bubble would unwind through it, so the
		// failure is reported after it.
		failure := ""
		synctest.Test(t, func(t *testing.T) {
			store := objecttest.New()
			managers := newGroup(store, 3)
			ctx, cancel := context.WithCancel(t.Context())
			for _, m := range managers {
				m.Want("move")
				go func() { _ = m.Run(ctx) }()
			}
			// fences maps each fencing token to the daemon that used it.
			fences := map[int64]int{}
			latest := int64(0)
			for _, step := range steps {
				switch step {
				case 0:
					store.LoseAnswers(1)
				case 1:
					store.DeferWrites(1)
				case 2:
					store.ApplyDeferredWrites()
				case 3:
					store.SetOutage(true)
				case 4:
					store.SetOutage(false)
				case 5:
					store.SetLatency(time.Duration(len(fences)%4) * time.Second)
				}
				for range 8 {
					time.Sleep(time.Second)
					found, fence := holders(managers, "move")
					if len(found) > 1 {
						failure = fmt.Sprintf("daemons %v hold the lease", found)
					}
					if len(found) == 1 {
						if holder, ok := fences[fence]; ok && holder != found[0] || fence < latest {
							failure = fmt.Sprintf("fence %d of daemon %d was used by another daemon or is older than fence %d", fence, found[0], latest)
						}
						fences[fence], latest = found[0], fence
					}
				}
			}
			cancel()
			synctest.Wait()
			time.Sleep(time.Minute)
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// newObservedGroup returns Managers for a store that does not return its time.
func newObservedGroup(store objectclient.Store, names ...string) []*Manager {
	var managers []*Manager
	for _, name := range names {
		managers = append(managers, NewManager(Options{Store: store, Now: time.Now, Holder: name, TTL: 6 * time.Second, ExpiresByObservation: true, ResumesLease: true}))
	}
	return managers
}

// Guards against two holders, and against a duty without one, if leases expire by
// observation.
func TestObservedTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.New()
		managers := newObservedGroup(store, "a", "b")
		var cancels []context.CancelFunc
		for _, m := range managers {
			ctx, cancel := context.WithCancel(t.Context())
			cancels = append(cancels, cancel)
			m.Want("duties")
			go func() { _ = m.Run(ctx) }()
		}
		time.Sleep(20 * time.Second)
		first, firstFence := holders(managers, "duties")
		assert.Equal(t, len(first), 1)
		// A holder that cannot reach the store cannot release its lease.
		store.SetOutage(true)
		time.Sleep(10 * time.Second)
		none, _ := holders(managers, "duties")
		assert.Equal(t, len(none), 0, "a holder acts although it cannot renew its lease")
		store.SetOutage(false)
		time.Sleep(20 * time.Second)
		second, secondFence := holders(managers, "duties")
		assert.Equal(t, len(second), 1)
		assert.Assert(t, secondFence > firstFence)
		for _, cancel := range cancels {
			cancel()
		}
		synctest.Wait()
	})
}

// Guards against duties that nobody performs for the lifetime of a lease after
// every restart of its holder.
func TestRestartedHolderResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.New()
		restarted := newObservedGroup(store, "a")[0]
		stored, err := store.Put(t.Context(), objectKind, "duties", objectclient.MustNotExist,
			[]byte(`{"holder":"a","nonce":"earlier","fence":1,"expiresMs":6000}`))
		assert.NilError(t, err)
		other := newObservedGroup(store, "b")[0]
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for _, m := range []*Manager{restarted, other} {
			m.Want("duties")
			go func() { _ = m.Run(ctx) }()
		}
		time.Sleep(time.Second)
		fence, ok := restarted.Held("duties")
		assert.Assert(t, ok && fence > int64(stored.Version))
		_, ok = other.Held("duties")
		assert.Assert(t, !ok)
		cancel()
		synctest.Wait()
	})
}

// Guards against a holder that acts on its lease after its instance was suspended for
// longer than the lifetime: the clock of the Go runtime stands still meanwhile.
func TestLeasesExpireDuringSuspensions(t *testing.T) {
	m := NewManager(Options{Store: objecttest.New(), Holder: "a"})
	sinceBoot := m.options.Now().Sub(bootclock.Now())
	assert.Assert(t, sinceBoot <= 0 && sinceBoot > -time.Minute, "differs from the boot clock by %v", sinceBoot)
}

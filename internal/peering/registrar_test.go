package peering

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/objecttest"
	"rattantide/internal/telemetry"
)

// Guards against daemons that start at the same time and do not discover each
// other for half a minute: each of them then used the whole of every quota.
func TestDaemonsStartedTogetherDiscoverEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.New()
		var mu sync.Mutex
		connected := map[string]bool{}
		ctx, cancel := context.WithCancel(t.Context())
		for i := range 9 {
			ip := fmt.Sprintf("10.0.0.%d", i+1)
			r := &Registrar{
				Store: store, Name: fmt.Sprintf("d%d", i), IP: ip, Logger: telemetry.Discard(), OnRegistered: func() {}, ReadsStore: func() bool { return true },
				Add: func(ips ...string) {
					mu.Lock()
					defer mu.Unlock()
					for _, other := range ips {
						// A daemon that receives a request learns the sender's address.
						connected[ip+" "+other], connected[other+" "+ip] = true, true
					}
				},
			}
			go func() { _ = r.Run(ctx) }()
		}
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		assert.Equal(t, len(connected), 9*8)
		cancel()
	})
}

// Guards against a daemon that is unknown to those that start later, because the store came
// back from a copy that is older than its entry.
func TestRegistersAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.New()
		backup := store.Backup()
		ctx, cancel := context.WithCancel(t.Context())
		r := &Registrar{
			Store: store, Name: "d", IP: "10.0.0.1", Logger: telemetry.Discard(), OnRegistered: func() {},
			ReadsStore: func() bool { return false }, Add: func(...string) {},
		}
		go func() { _ = r.Run(ctx) }()
		time.Sleep(10 * time.Second)
		_, err := store.Get(t.Context(), daemonKind, "d")
		assert.NilError(t, err)
		store.Restore(backup)
		time.Sleep(2 * eraCheckInterval)
		_, err = store.Get(t.Context(), daemonKind, "d")
		assert.NilError(t, err)
		cancel()
	})
}

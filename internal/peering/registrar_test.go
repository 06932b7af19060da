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

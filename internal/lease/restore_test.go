package lease

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/objectclient"
	"rattantide/internal/objecttest"
)

// Guards against a fencing token that is handed out twice, or a token below an earlier one,
// after the store came back from a copy that lacks the earlier lease, and against a holder
// that goes on under a lease that is not stored any more.
func TestTokensRiseAcrossRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := objecttest.New()
		managers := newGroup(store, 2)
		stores := make([]*partitionedStore, len(managers))
		ctx, cancel := context.WithCancel(t.Context())
		for i, m := range managers {
			stores[i] = &partitionedStore{Store: store}
			m.options.Store, m.options.TTL, m.options.ExpiresByObservation = stores[i], 6*time.Second, true
			m.Want("usage")
			go func() { _ = m.Run(ctx) }()
		}
		backup := store.Backup()
		time.Sleep(10 * time.Second)
		before, lost := holders(managers, "usage")
		assert.Equal(t, len(before), 1)
		stores[before[0]].isCut.Store(true)
		store.Restore(backup)
		for fillers := lost - 1 - int64(store.Revision()); fillers > 0; fillers-- {
			_, err := store.Put(t.Context(), "other", "filler", objectclient.AnyVersion, json.RawMessage(`1`))
			assert.NilError(t, err)
		}
		time.Sleep(20 * time.Second)
		after, fence := holders(managers, "usage")
		assert.Equal(t, len(after), 1)
		assert.Assert(t, fence > lost, "token %d after %d", fence, lost)

		stores[before[0]].isCut.Store(false)
		store.Restore(backup)
		lost = fence
		time.Sleep(10 * time.Second)
		after, fence = holders(managers, "usage")
		assert.Equal(t, len(after), 1)
		assert.Assert(t, fence > lost, "the holder goes on under token %d", lost)
		cancel()
		synctest.Wait()
	})
}

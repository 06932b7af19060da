package objectclient_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rattantide/internal/objectclient"
	"rattantide/internal/standin/objectapi"
)

// Guards against revisions of an object API that was restored from a copy that are compared
// with those from before, in conditions, in watches and between each other.
func TestRevisionsAcrossRestore(t *testing.T) {
	api := objectapi.New(objectapi.Config{})
	first, second := newClient(t, api, nil), newClient(t, api, nil)
	ctx := t.Context()
	backup := api.Backup()
	before, err := first.Put(ctx, "k", "n", objectclient.MustNotExist, value)
	assert.NilError(t, err)
	watched := make(chan error, 1)
	started := make(chan struct{}, 1)
	go func() {
		watched <- first.Watch(ctx, before.Version, nil, func(e objectclient.Event) error {
			assert.Check(t, e.Type == objectclient.EventBookmark, "a change of the next era was taken for one of this")
			started <- struct{}{}
			return nil
		})
	}()
	<-started
	api.Restore(backup)
	after, err := second.Put(ctx, "k", "n", objectclient.MustNotExist, json.RawMessage(`2`))
	assert.NilError(t, err)
	assert.Equal(t, before.Version.Number(), after.Version.Number(), "the number was given out again")
	assert.Assert(t, before.Version < after.Version)
	assert.Assert(t, <-watched != nil)

	_, err = first.Put(ctx, "k", "n", before.Version, json.RawMessage(`3`))
	assert.ErrorIs(t, err, objectclient.ErrRestored)
	_, err = first.Put(ctx, "k", "n", before.Version, json.RawMessage(`4`))
	assert.ErrorIs(t, err, objectclient.ErrConflict)
	assert.ErrorIs(t, first.Delete(ctx, "k", "n", before.Version), objectclient.ErrConflict)
	err = first.Watch(ctx, before.Version, nil, func(objectclient.Event) error { return nil })
	assert.ErrorIs(t, err, objectclient.ErrCompacted)
	list, err := first.List(ctx, "k")
	assert.NilError(t, err)
	assert.Assert(t, list.Revision > before.Version && list.Items[0].Version > before.Version)
}

// Guards against revisions that do not survive their encoding, or whose order is not that of
// eras first.
func TestRevisionOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(name string) (era, number int64, r objectclient.Revision) {
			era, number = rapid.Int64Range(0, 1<<22-1).Draw(rt, name+" era"), rapid.Int64Range(0, 1<<40-1).Draw(rt, name)
			r, err := objectclient.NewRevision(era, number)
			if err != nil || r.Era() != era || r.Number() != number || r < 0 {
				rt.Fatalf("%d of era %d: %d, %v", number, era, r, err)
			}
			return era, number, r
		}
		aEra, aNumber, a := draw("a")
		bEra, bNumber, b := draw("b")
		want := aEra < bEra || aEra == bEra && aNumber < bNumber
		if (a < b) != want {
			rt.Fatalf("%d < %d is %t", a, b, a < b)
		}
	})
	for _, invalid := range [][2]int64{{-1, 0}, {0, -1}, {1 << 22, 0}, {0, 1 << 40}} {
		_, err := objectclient.NewRevision(invalid[0], invalid[1])
		assert.Assert(t, err != nil, invalid)
	}
}

package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"rattantide/internal/api"
	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/objecttest"
)

var errCaughtUp = errors.ConstError("watch has delivered all changes")

// catchUp watches the store until all changes have been applied.
func (s *Syncer) catchUp(ctx context.Context) {
	since, _, synced := s.progress.get()
	if !synced {
		return
	}
	_ = s.options.Store.Watch(ctx, since, s.kinds, func(e objectclient.Event) error {
		s.applyEvent(e)
		if e.Type == objectclient.EventBookmark {
			return errCaughtUp
		}
		return nil
	})
}

// pollFrom applies one feed of another Syncer in the same way as followPeer.
func (s *Syncer) pollFrom(from *Syncer) {
	since, _, _ := s.progress.get()
	feed := from.feed(since, "")
	if s.applyFeed(&feed); feed.Synced {
		s.progress.setSynced()
	}
}

// Guards against an object that reverts to an older version, against a deletion that
// is undone or never applied, and against daemons that do not converge, when lists
// (stale ones included), watches, incremental feeds and snapshots are applied in any
// order, and the store is restored from copies.
func TestConfigurationConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		store := objecttest.New()
		var syncers []*Syncer
		for i := range 3 {
			table := membership.NewTable(membership.Daemon{Name: fmt.Sprint("d", i)}, membership.Options{})
			syncers = append(syncers, NewSyncer(Options{Store: store, Cache: NewCache(), Table: table}))
		}
		// highest holds, by daemon and object, the highest version that was in effect,
		// and deleted whether the object was deleted after it.
		highest := map[string]objectclient.Revision{}
		deleted := map[string]bool{}
		check := func() {
			for i, s := range syncers {
				objects := s.options.Cache.Snapshot().Objects[api.KindPool]
				for n := range 4 {
					name := fmt.Sprint("p", n)
					key := fmt.Sprint(i, name)
					o, ok := objects[name]
					switch {
					case !ok:
						deleted[key] = highest[key] > 0
						continue
					case o.Version < highest[key], deleted[key] && o.Version == highest[key]:
						rt.Fatalf("daemon %d: %s reverted to version %d", i, name, o.Version)
					}
					highest[key], deleted[key] = o.Version, false
				}
			}
		}
		backup := store.Backup()
		pick := func(rt *rapid.T, what string) *Syncer {
			return syncers[rapid.IntRange(0, 2).Draw(rt, what)]
		}
		rt.Repeat(map[string]func(*rapid.T){
			"put": func(rt *rapid.T) {
				name := fmt.Sprint("p", rapid.IntRange(0, 3).Draw(rt, "object"))
				_, _ = store.Put(ctx, "Pool", name, objectclient.AnyVersion, json.RawMessage(poolValue))
			},
			"delete": func(rt *rapid.T) {
				_ = store.Delete(ctx, "Pool", fmt.Sprint("p", rapid.IntRange(0, 3).Draw(rt, "object")), objectclient.AnyVersion)
			},
			"list": func(rt *rapid.T) {
				store.SetStaleRevisions(rapid.Int64Range(0, 3).Draw(rt, "stale"))
				_ = pick(rt, "daemon").listAll(ctx)
				store.SetStaleRevisions(0)
			},
			"watch": func(rt *rapid.T) { pick(rt, "daemon").catchUp(ctx) },
			"poll": func(rt *rapid.T) {
				to := pick(rt, "to")
				to.pollFrom(pick(rt, "from"))
			},
			"snapshot": func(rt *rapid.T) {
				feed := pick(rt, "from").feed(-1, "")
				pick(rt, "to").applyFeed(&feed)
			},
			"compact": func(*rapid.T) { store.Compact() },
			"backup":  func(*rapid.T) { backup = store.Backup() },
			"restore": func(*rapid.T) { store.Restore(backup) },
			"":        func(*rapid.T) { check() },
		})
		if err := syncers[0].listAll(ctx); err != nil {
			rt.Fatal(err)
		}
		// Each daemon polls the previous one, so that forwarding by the second one is
		// covered as well.
		for i, s := range syncers[1:] {
			s.pollFrom(syncers[i])
		}
		check()
		want, _ := store.List(ctx, "Pool")
		for i, s := range syncers {
			objects := s.options.Cache.Snapshot().Objects[api.KindPool]
			if len(objects) != len(want.Items) {
				rt.Fatalf("daemon %d has %d objects, the store has %d", i, len(objects), len(want.Items))
			}
			for _, o := range want.Items {
				if objects[o.Name].Version != o.Version {
					rt.Fatalf("daemon %d has %s at version %d, the store at %d", i, o.Name, objects[o.Name].Version, o.Version)
				}
			}
		}
	})
}

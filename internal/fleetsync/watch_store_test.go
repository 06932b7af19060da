package fleetsync

import (
	"context"
	"time"

	"rattantide/internal/objectclient"
	"rattantide/internal/objecttest"
)

// watchStore is an in-memory store whose watches return at once. A deletion is reported
// without the name of the object.
type watchStore struct{ *objecttest.Store }

// WatchOnce implements WatchStore.
func (s watchStore) WatchOnce(ctx context.Context, kind string, since objectclient.Revision, _ time.Duration, fn func(objectclient.Event) error) (objectclient.Revision, error) {
	list, err := s.List(ctx, kind)
	if err != nil {
		return 0, err
	}
	changed := false
	for i := range list.Items {
		o := &list.Items[i]
		if o.Version <= since {
			continue
		}
		changed = true
		if err := fn(objectclient.Event{Type: objectclient.EventPut, Object: o}); err != nil {
			return 0, err
		}
	}
	if !changed && list.Revision > since {
		return list.Revision, fn(objectclient.Event{Type: objectclient.EventDelete, Object: &objectclient.Object{Kind: kind}})
	}
	return max(list.Revision, since), nil
}

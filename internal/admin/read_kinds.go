package admin

import (
	"context"

	"github.com/juju/errors"

	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/objectclient"
)

// readKinds reads all objects of the given kinds from the store into a view.
// References are checked against the store, because this daemon's local copy
// lags behind: a copy without a new pool would cause a valid route to be refused,
// and one without a new move would allow a second move to start. At 39,000 changes
// a day with at most five lists each, this costs about 2 reads per second.
func readKinds(ctx context.Context, store objectclient.Store, kinds ...api.Kind) (*configsync.View, error) {
	cache := configsync.NewCache()
	for _, kind := range kinds {
		list, err := store.List(ctx, string(kind))
		if err != nil {
			return nil, errors.Annotatef(err, "list %s", kind)
		}
		cache.Apply(list.Items...)
	}
	return cache.Snapshot(), nil
}

// kindsForPut returns the kinds that a put of kind is checked against.
func kindsForPut(kind api.Kind) []api.Kind {
	switch kind {
	case api.KindWorkspace:
		return []api.Kind{api.KindWorkspace, api.KindClass}
	case api.KindRoute:
		return []api.Kind{api.KindRoute, api.KindPool, api.KindClass}
	case api.KindPool:
		return []api.Kind{api.KindPool, api.KindVersionMove}
	case api.KindVersion:
		return []api.Kind{api.KindRoute, api.KindPool, api.KindVersion, api.KindVersionMove}
	case api.KindVersionMove:
		return []api.Kind{api.KindPool, api.KindVersion, api.KindVersionMove}
	}
	return nil
}

// kindsForDelete returns the kinds that a deletion of kind is checked against.
func kindsForDelete(kind api.Kind) []api.Kind {
	switch kind {
	case api.KindClass:
		return []api.Kind{api.KindRoute, api.KindWorkspace}
	case api.KindPool:
		return []api.Kind{api.KindRoute, api.KindVersion, api.KindVersionMove}
	case api.KindVersion:
		return []api.Kind{api.KindRoute, api.KindPool, api.KindVersionMove}
	case api.KindVersionMove:
		return []api.Kind{api.KindPool, api.KindVersionMove}
	}
	return nil
}

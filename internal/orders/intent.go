package orders

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/objectclient"
)

// intentKind is the kind of intents in the object API; the name is the
// upstream's.
const intentKind = "orderintent"

// intent is written before an order is sent to an engine that ignores fencing
// tokens.
type intent struct {
	Pool    string `json:"pool"`
	Address string `json:"address"`
	Fence   int64  `json:"fence"`
	ID      string `json:"id"`
	Version string `json:"version"`
	// AtMs is the store's time just before the intent was written.
	AtMs int64 `json:"atMs"`
}

// Causes for which an order is not sent.
const (
	errNewerIntent = errors.ConstError("an intent with a newer fencing token is stored")
	errInFlight    = errors.ConstError("an earlier order may still be in flight")
)

// settled reports whether the intent's order can no longer reach the engine.
func (i intent) settled(storeNow time.Time) bool {
	return storeNow.Sub(time.UnixMilli(i.AtMs)) >= orderFlight
}

// blocks reports why an order may not follow the intent yet. A repetition of
// the holder's own order is harmless in any sequence.
func (i intent) blocks(next intent, storeNow time.Time) error {
	switch {
	case i.Fence > next.Fence:
		return errNewerIntent
	case i.Fence == next.Fence && i.Version == next.Version && i.Address == next.Address:
		return nil
	case !i.settled(storeNow):
		return errInFlight
	}
	return nil
}

// recordIntent stores the intent of an order by conditional update.
func recordIntent(ctx context.Context, store objectclient.Store, upstream string, next intent) error {
	version := objectclient.MustNotExist
	current, err := store.Get(ctx, intentKind, upstream)
	if err != nil && !errors.Is(err, objectclient.ErrNotFound) {
		return errors.Trace(err)
	}
	now, known := store.Now()
	if !known {
		return errors.Annotate(objectclient.ErrUnavailable, "the store's time is not known")
	}
	if current != nil {
		version = current.Version
		// One that cannot be read blocks nothing; it was not written by a
		// controller.
		var stored intent
		if json.Unmarshal(current.Value, &stored) == nil {
			if err := stored.blocks(next, now); err != nil {
				return err
			}
		}
	}
	next.AtMs = now.UnixMilli()
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = store.Put(ctx, intentKind, upstream, version, value)
	return errors.Trace(err)
}

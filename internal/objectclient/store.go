package objectclient

import (
	"context"
	"encoding/json"
	"time"
)

// AnyVersion makes a Put unconditional.
const AnyVersion int64 = -1

// MustNotExist makes a Put succeed only when the object does not exist.
const MustNotExist int64 = 0

// Object is one stored object. Version is the store-wide revision of the
// object's last write.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version int64           `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	// Status is what the system reported about the object, in stores that keep
	// it apart from the value.
	Status json.RawMessage `json:"status,omitempty"`
}

// ObjectList is the content of one kind at a revision.
type ObjectList struct {
	Revision int64    `json:"revision"`
	Items    []Object `json:"items"`
}

// EventType tells what an Event reports.
type EventType string

// The types of events of a watch.
const (
	EventPut    EventType = "put"
	EventDelete EventType = "delete"
	// EventBookmark reports progress without a change.
	EventBookmark EventType = "bookmark"
)

// Event is one line of a watch. For a deletion the object carries its kind,
// name and the revision of the deletion as its version.
type Event struct {
	Revision int64     `json:"revision"`
	Type     EventType `json:"type"`
	Object   *Object   `json:"object,omitempty"`
}

// Store is the object API as the rest of the system uses it. All methods are
// safe for concurrent use. Errors wrap ErrConflict, ErrNotFound, ErrTooLarge,
// ErrCompacted or ErrUnavailable.
type Store interface {
	Get(ctx context.Context, kind, name string) (*Object, error)
	List(ctx context.Context, kind string) (*ObjectList, error)
	// Put writes value if the object's current version is version (or
	// MustNotExist, or AnyVersion). On a conflict it returns the current object
	// together with ErrConflict. A nil error means that the write took effect.
	// ErrUnavailable means that the write may or may not have taken effect, or
	// may still take effect later.
	Put(ctx context.Context, kind, name string, version int64, value json.RawMessage) (*Object, error)
	Delete(ctx context.Context, kind, name string, version int64) error
	// Watch calls fn for each event after revision since, in order, until ctx
	// ends, fn returns an error, or the connection is lost; it returns the cause.
	Watch(ctx context.Context, since int64, kinds []string, fn func(Event) error) error
	// Now returns the store's time as estimated from its latest answer, and
	// whether any answer has been seen yet.
	Now() (time.Time, bool)
}

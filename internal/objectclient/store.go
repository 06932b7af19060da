package objectclient

import (
	"context"
	"encoding/json"
	"time"
)

// AnyVersion makes a Put or Delete unconditional.
const AnyVersion Revision = -1

// MustNotExist makes a Put succeed only when the object does not exist.
const MustNotExist Revision = 0

// Object is one stored object. Version is the store-wide revision of the
// object's last write.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version Revision        `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	// Status is the state of the object as reported by the system, in stores
	// that store it separately from the value.
	Status json.RawMessage `json:"status,omitempty"`
}

// ObjectList contains all objects of one kind at a revision.
type ObjectList struct {
	Revision Revision `json:"revision"`
	Items    []Object `json:"items"`
}

// EventType is the type of an Event.
type EventType string

// The types of watch events.
const (
	EventPut    EventType = "put"
	EventDelete EventType = "delete"
	// EventBookmark reports progress without a change.
	EventBookmark EventType = "bookmark"
)

// Event is one event of a watch. For a deletion, the object contains only its
// kind, its name and, as its version, the revision of the deletion.
type Event struct {
	Revision Revision  `json:"revision"`
	Type     EventType `json:"type"`
	Object   *Object   `json:"object,omitempty"`
}

// Store is the interface of the object API. All methods are safe for concurrent
// use. Errors wrap ErrConflict, ErrNotFound, ErrTooLarge, ErrCompacted or
// ErrUnavailable.
type Store interface {
	// Get returns the current object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (*Object, error)
	// List returns all objects of a kind.
	List(ctx context.Context, kind string) (*ObjectList, error)
	// Put writes value on condition that the object's current version is version;
	// version may also be MustNotExist or AnyVersion. On a conflict it returns
	// ErrConflict and the current object, or a nil object if there is none. A nil
	// error means that the write took effect. ErrUnavailable means that the write
	// may have taken effect, or may still take effect later.
	Put(ctx context.Context, kind, name string, version Revision, value json.RawMessage) (*Object, error)
	// Delete deletes the object on the same conditions. Its errors have the same
	// meaning as those of Put.
	Delete(ctx context.Context, kind, name string, version Revision) error
	// Watch calls fn for each event after revision since, in order, until ctx is
	// done, fn returns an error, or the connection is lost. It returns the cause, which is
	// ErrCompacted if since is of an era that has ended.
	// If kinds is empty, it reports the events of all kinds.
	Watch(ctx context.Context, since Revision, kinds []string, fn func(Event) error) error
	// Eras returns the tracker of the store's era.
	Eras() *Eras
	// Now returns the store's time as estimated from its responses, and false if
	// no response was received yet.
	Now() (time.Time, bool)
}

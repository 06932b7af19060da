package admin

import "rattantide/internal/api"

// Where a read was answered from.
const (
	SourceStore = "object_api"
	// SourceLocal marks an answer from the daemon's own copy of the
	// configuration, because the object API was unavailable.
	SourceLocal = "local"
)

// SourceHeader carries SourceStore or SourceLocal.
const SourceHeader = "X-Source"

// ObjectList is the answer to a listing, ordered by name.
type ObjectList struct {
	Kind     api.Kind      `json:"kind"`
	Revision int64         `json:"revision"`
	Source   string        `json:"source"`
	Items    []*api.Object `json:"items"`
}

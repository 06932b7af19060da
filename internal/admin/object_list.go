package admin

import (
	"rattantide/internal/api"
	"rattantide/internal/objectclient"
)

// The sources of a response to a read.
const (
	// SourceObjectAPI marks a response from the object API.
	SourceObjectAPI = "object_api"
	// SourceLocal marks a response from the daemon's local copy of the
	// configuration, which is used while the object API is unavailable.
	SourceLocal = "local"
)

// SourceHeader is the response header that contains SourceObjectAPI or
// SourceLocal.
const SourceHeader = "X-Source"

// ObjectList is the response to a list request. Items are sorted by name.
type ObjectList struct {
	Kind api.Kind `json:"kind"`
	// Revision is the revision of the object API at which the list was read, or, in a
	// local copy, the highest object version of all kinds.
	Revision objectclient.Revision `json:"revision"`
	// Source is SourceObjectAPI or SourceLocal.
	Source string        `json:"source"`
	Items  []*api.Object `json:"items"`
}

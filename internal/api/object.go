package api

import (
	"encoding/json"

	"rattantide/internal/objectclient"
)

// Object is the envelope in which operators apply and read objects.
type Object struct {
	Kind Kind `json:"kind"`
	// Name identifies the object within its kind. It has 1 to 63 lower-case letters,
	// digits, dots or dashes, and starts and ends with a letter or a digit.
	Name string `json:"name"`
	// Version is the object version that was read. An apply is conditional on
	// it: 0 creates the object, and -1 replaces any version.
	Version objectclient.Revision `json:"version,omitempty"`
	Spec    json.RawMessage       `json:"spec"`
	// Status is written only by the system and ignored on apply.
	Status json.RawMessage `json:"status,omitempty"`

	// Typed is the decoded spec: *Class, *Workspace, *Route, *Pool, *Version
	// or *VersionMove. It is nil if the spec was not decoded.
	Typed any `json:"-"`
	// MoveStatus is the decoded status of a VersionMove, or nil. DecodeStored
	// sets it.
	MoveStatus *MoveStatus `json:"-"`
}

// StoredValue is the value that the object API stores for an Object.
type StoredValue struct {
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

// Value returns the encoded StoredValue of the object.
func (o *Object) Value() (json.RawMessage, error) {
	return json.Marshal(StoredValue{Spec: o.Spec, Status: o.Status})
}

package api

import "encoding/json"

// Object is the envelope in which operators apply and read objects. Exactly
// one of the typed specs is set by DecodeObject.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Version is the version read. On apply, 0 means "create", -1 means "any".
	Version int64           `json:"version,omitempty"`
	Spec    json.RawMessage `json:"spec"`
	// Status is written by the system alone and ignored on apply.
	Status json.RawMessage `json:"status,omitempty"`

	// Typed is the decoded spec: *Class, *Workspace, *Route, *Pool, *Version
	// or *VersionMove.
	Typed any `json:"-"`
	// MoveStatus is the decoded status of a VersionMove, else nil.
	MoveStatus *MoveStatus `json:"-"`
}

// Stored is the value of an Object in the object API.
type Stored struct {
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status,omitempty"`
}

// Value returns the object as it is kept in the object API.
func (o *Object) Value() (json.RawMessage, error) {
	return json.Marshal(Stored{Spec: o.Spec, Status: o.Status})
}

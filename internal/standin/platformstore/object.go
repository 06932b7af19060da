package platformstore

import "encoding/json"

// Meta is the metadata of an object.
type Meta struct {
	Name string `json:"name"`
	// Revision is the revision of the last write of the object, Created that of the
	// first one.
	Revision int64 `json:"revision"`
	Created  int64 `json:"created"`
}

// Object is an object as the store returns it.
type Object struct {
	Metadata Meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	kind    string
	object  Object
	deleted bool
}

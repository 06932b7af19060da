package api

import (
	"encoding/json"

	"github.com/juju/errors"

	"rattantide/internal/findings"
)

// DecodeObject decodes an envelope strictly: each unknown field and each value
// of a wrong type is a finding. The returned object has its typed spec set when
// the list is empty.
func DecodeObject(data []byte) (*Object, *findings.List) {
	list := &findings.List{}
	obj := &Object{}
	if !decodeStrict(data, obj, "", list) {
		return obj, list
	}
	DecodeSpec(obj, list)
	return obj, list
}

// DecodeStored builds an Object from what the object API keeps. It is lenient
// about unknown fields, so that an older daemon can read what a newer one wrote.
func DecodeStored(kind Kind, name string, version int64, value []byte) (*Object, error) {
	var stored Stored
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, errors.Annotatef(err, "%s/%s", kind, name)
	}
	obj := &Object{Kind: kind, Name: name, Version: version, Spec: stored.Spec, Status: stored.Status}
	obj.Typed = newSpec(kind)
	if obj.Typed == nil {
		return nil, errors.NotValidf("kind %q", kind)
	}
	if err := json.Unmarshal(stored.Spec, obj.Typed); err != nil {
		return nil, errors.Annotatef(err, "%s/%s", kind, name)
	}
	if kind == KindVersionMove && len(stored.Status) > 0 {
		obj.MoveStatus = &MoveStatus{}
		if err := json.Unmarshal(stored.Status, obj.MoveStatus); err != nil {
			return nil, errors.Annotatef(err, "%s/%s status", kind, name)
		}
	}
	setDefaults(obj.Typed)
	return obj, nil
}

// DecodeSpec sets obj.Typed from obj.Spec, strictly, and validates it.
func DecodeSpec(obj *Object, list *findings.List) {
	validateEnvelope(obj, list)
	spec := newSpec(obj.Kind)
	if spec == nil {
		list.Addf("kind", "unknown kind %q; known kinds are %v", obj.Kind, Kinds)
		return
	}
	if len(obj.Spec) == 0 {
		list.Addf("spec", "is missing")
		return
	}
	if !decodeStrict(obj.Spec, spec, "spec", list) {
		return
	}
	setDefaults(spec)
	validateSpec(spec, list)
	obj.Typed = spec
}

func newSpec(kind Kind) any {
	switch kind {
	case KindClass:
		return &Class{}
	case KindWorkspace:
		return &Workspace{}
	case KindRoute:
		return &Route{}
	case KindPool:
		return &Pool{}
	case KindVersion:
		return &Version{}
	case KindVersionMove:
		return &VersionMove{}
	}
	return nil
}

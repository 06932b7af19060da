package api

import (
	"encoding/json"

	"github.com/juju/errors"

	"rattantide/internal/findings"
	"rattantide/internal/objectclient"
)

// DecodeObject strictly decodes and validates an applied object. Every unknown
// field, mistyped value and invalid value is reported as a finding. The typed
// spec of the returned object is set if the list is empty.
func DecodeObject(data []byte) (*Object, *findings.List) {
	list := &findings.List{}
	obj := &Object{}
	if !decodeStrict(data, obj, "", list) {
		return obj, list
	}
	DecodeSpec(obj, list)
	return obj, list
}

// DecodeStored decodes an Object from its value in the object API and sets
// defaults. It does not validate the spec, and it ignores unknown fields, so that an
// older daemon can read objects written by a newer one.
func DecodeStored(kind Kind, name string, version objectclient.Revision, value []byte) (*Object, error) {
	var stored StoredValue
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

// DecodeSpec strictly decodes obj.Spec into obj.Typed and validates the object.
// It adds all findings to list. obj.Typed stays unset if the kind is unknown or
// the spec cannot be decoded.
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

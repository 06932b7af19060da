package api

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestDecodeReportsEveryFinding guards against a decoder that stops at the
// first unknown field, mistyped value or invalid value, and against findings
// without the path of the value.
func TestDecodeReportsEveryFinding(t *testing.T) {
	for _, c := range []struct {
		name, document string
		paths          []string
	}{
		{"unknown fields and wrong values", `{"kind":"Class","name":"Chat!","extra":1,"spec":{"target":{"firstTokn":"1s","within":2},"priority":12,"speed":3}}`,
			[]string{"extra", "name", "spec.target.firstTokn", "spec.speed", "spec.target", "spec.target.within", "spec.priority"}},
		{"wrong types", `{"kind":"Class","name":"chat","spec":{"target":{"firstToken":1,"answer":"fast"},"idempotent":"no"}}`,
			[]string{"spec.target.firstToken", "spec.target.answer", "spec.idempotent"}},
		{"list items", `{"kind":"Workspace","name":"w","spec":{"tokenHash":"x","classes":["a",2]}}`, []string{"spec.classes[1]"}},
		{"unknown kind", `{"kind":"Pot","name":"w","spec":{}}`, []string{"kind"}},
		{"no spec", `{"kind":"Pool","name":"w"}`, []string{"spec"}},
		{"spec of a wrong type", `{"kind":"Pool","name":"w","spec":[]}`, []string{"spec"}},
		{"several values", `{"kind":"Pool"} {}`, []string{""}},
		{"nothing", ``, []string{""}},
	} {
		_, list := DecodeObject([]byte(c.document))
		found := map[string]bool{}
		for _, f := range list.Items() {
			found[f.Path] = true
			assert.Assert(t, f.Message != "", c.name)
		}
		for _, path := range c.paths {
			assert.Assert(t, found[path], "%s: no finding for %q in %v", c.name, path, list.Items())
		}
		assert.Equal(t, len(found), len(c.paths), "%s: %v", c.name, list.Items())
	}
}

// TestDecodeStoredIgnoresUnknownFields guards against an older daemon that
// drops an object because a newer daemon added a field to it.
func TestDecodeStoredIgnoresUnknownFields(t *testing.T) {
	obj, err := DecodeStored(KindPool, "briefs", 7, []byte(`{"spec":{"type":"chat","version":"v1","later":1},"later":2}`))
	assert.NilError(t, err)
	assert.Equal(t, obj.Typed.(*Pool).Fencing, FencingIgnored)
}

// TestDecodeNeverPanics guards against input that crashes the daemon.
func TestDecodeNeverPanics(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, list := DecodeObject(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
		assert.Assert(t, !list.IsEmpty())
	})
}

// TestDecodeObjectRoundTrip guards against an object that changes when it is
// read and then applied again.
func TestDecodeObjectRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		class := &Class{
			Target:       Target{FirstToken: Duration(rapid.Int64Range(1, 1e12).Draw(t, "first")), Within: rapid.Float64Range(0.1, 1).Draw(t, "within")},
			Completeness: rapid.Float64Range(0.1, 1).Draw(t, "completeness"),
			Deadline:     Duration(rapid.Int64Range(1, 8e13).Draw(t, "deadline")),
		}
		spec, err := json.Marshal(class)
		assert.NilError(t, err)
		name := "c" + strings.ToLower(rapid.StringMatching(`[a-z0-9]{0,9}`).Draw(t, "name"))
		data, err := json.Marshal(&Object{Kind: KindClass, Name: name, Spec: spec})
		assert.NilError(t, err)
		obj, list := DecodeObject(data)
		assert.NilError(t, list.Err())
		assert.DeepEqual(t, obj.Typed, class)
	})
}

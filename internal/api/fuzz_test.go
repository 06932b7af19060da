package api

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzDecodeObject guards against an applied document that crashes the daemon,
// and against one that is accepted but cannot be read back from the object API.
func FuzzDecodeObject(f *testing.F) {
	for _, seed := range []string{
		`{"kind":"Class","name":"chat","spec":{"target":{"firstToken":"1.3s","within":0.95},"deadline":"60s","retryBudget":1}}`,
		`{"kind":"Workspace","name":"w","spec":{"tokenHash":"fe54432b6be58e44c9c3a59bc3f0205bcd6e48f990c8e5d15b12b6138265a5a0"}}`,
		`{"kind":"Route","name":"r","spec":{"prefix":"orders","pool":"dies","class":"order"}}`,
		`{"kind":"Pool","name":"p","version":-1,"spec":{"type":"chat","version":"v1","fencing":"checked"}}`,
		`{"kind":"VersionMove","name":"m","spec":{"pool":"p","from":"a","to":"b","deadline":"1m"},"status":{"phase":"running"}}`,
		`{"kind":"Class","name":"c","spec":{"target":[],"deadline":1e400}}`, `null`, `[]`, `{"spec":null} {}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		obj, list := DecodeObject(data)
		if !list.IsEmpty() {
			return
		}
		assert.Assert(t, obj.Typed != nil)
		value, err := json.Marshal(StoredValue{Spec: obj.Spec})
		assert.NilError(t, err)
		stored, err := DecodeStored(obj.Kind, obj.Name, 1, value)
		assert.NilError(t, err)
		assert.DeepEqual(t, stored.Typed, obj.Typed)
	})
}

// FuzzDecodeStored guards against a stored object that crashes every daemon
// that watches it.
func FuzzDecodeStored(f *testing.F) {
	for kind := range Kinds {
		f.Add(kind, []byte(`{"spec":{"pool":"p","deadline":"1m"},"status":{"phase":"running","share":0.5}}`))
		f.Add(kind, []byte(`{"spec":null,"status":null}`))
	}
	f.Fuzz(func(t *testing.T, kind int, value []byte) {
		if kind < 0 || kind >= len(Kinds) {
			return
		}
		obj, err := DecodeStored(Kinds[kind], "name", 1, value)
		if err == nil {
			assert.Assert(t, obj.Typed != nil)
		}
	})
}

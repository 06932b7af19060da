package intent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/objectclient"
)

// FuzzDecodeHead guards against a shard object that crashes every daemon that
// reads it, and against call records that are lost when a head is decoded and
// encoded again.
func FuzzDecodeHead(f *testing.F) {
	for _, seed := range []string{
		`{"write":"w","segments":[{"name":"0.1","untilMs":5}],"entries":[{"key":{"workspace":"w","route":"r","value":"k"},"digest":"d","nonce":"n","atMs":1}]}`,
		`{"write":"w","entries":[{"key":{},"outcome":{"ran":"done","status":200,"body":"e30="},"endedMs":2}],"withdrawn":{"n":9}}`,
		`{"entries":[null]}`, `{"entries":null,"withdrawn":null}`, `null`, `[]`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		h, err := decodeHead(&objectclient.Object{Kind: objectKind, Name: "0", Version: 3, Value: value})
		if err != nil {
			return
		}
		encoded, err := h.encode("again")
		assert.NilError(t, err)
		decoded, err := decodeHead(&objectclient.Object{Kind: objectKind, Name: "0", Version: 3, Value: encoded})
		assert.NilError(t, err)
		assert.Equal(t, len(decoded.entries), len(h.entries))
		assert.Equal(t, decoded.pending, h.pending)
		for key, e := range h.entries {
			assert.DeepEqual(t, decoded.entries[key].Outcome, e.Outcome)
			assert.Equal(t, decoded.entries[key].Nonce, e.Nonce)
		}
		changed := h.clone()
		changed.expire(time.UnixMilli(10), time.Second, time.Second)
		if ref, sealed := h.seal(0, 64); ref != nil {
			assert.Assert(t, len(sealed) > 0)
		}
		assert.Equal(t, len(decoded.entries), len(h.entries))
	})
}

// FuzzDecodeSegment guards against a sealed segment that crashes every daemon
// that reads it, and against entries that change when a segment is decoded and
// encoded again.
func FuzzDecodeSegment(f *testing.F) {
	f.Add([]byte(`{"entries":[{"key":{"workspace":"w","route":"r","value":"k"},"nonce":"n","outcome":{"ran":"unknown"}}]}`))
	f.Add([]byte(`{"entries":[null,{}]}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, value []byte) {
		entries, err := decodeSegment(&objectclient.Object{Kind: objectKind, Name: "0.1", Value: value})
		if err != nil {
			return
		}
		encoded, err := encodeSegment(entries)
		assert.NilError(t, err)
		decoded, err := decodeSegment(&objectclient.Object{Kind: objectKind, Name: "0.1", Value: encoded})
		assert.NilError(t, err)
		assert.Equal(t, len(decoded), len(entries))
		for i, e := range entries {
			assert.Equal(t, decoded[i].Key, e.Key)
			assert.DeepEqual(t, decoded[i].Outcome, e.Outcome)
		}
	})
}

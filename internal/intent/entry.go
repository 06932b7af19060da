package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
)

// entry is one recorded call. It is immutable once it is in a head.
type entry struct {
	Key    Key    `json:"key"`
	Digest string `json:"digest"`
	// Nonce identifies the one dispatch that the intent permits.
	Nonce string    `json:"nonce"`
	By    requester `json:"by"`
	// AtMs and EndedMs are in the store's time.
	AtMs    int64 `json:"atMs"`
	EndedMs int64 `json:"endedMs,omitempty"`
	// Outcome is nil while the call is in progress.
	Outcome *Outcome `json:"outcome,omitempty"`

	encoded json.RawMessage
}

// encode returns the entry as JSON, which is kept, as a head is written many
// times with the same entries.
func (e *entry) encode() json.RawMessage {
	if e.encoded == nil {
		encoded, err := json.Marshal(e)
		if err != nil {
			// All fields are plain values, so this cannot happen.
			panic(err)
		}
		e.encoded = encoded
	}
	return e.encoded
}

// ended returns a copy of the entry with an outcome.
func (e *entry) ended(outcome Outcome, now time.Time) *entry {
	c := *e
	c.Outcome, c.EndedMs, c.encoded = &outcome, now.UnixMilli(), nil
	return &c
}

// maxKeyBytes bounds the part of a key that callers choose; a longer one is
// recorded by its digest.
const maxKeyBytes = 200

// bounded returns the key as it is recorded.
func (k Key) bounded() Key {
	if len(k.Value) > maxKeyBytes {
		sum := sha256.Sum256([]byte(k.Value))
		k.Value = "sha256:" + hex.EncodeToString(sum[:])
	}
	return k
}

func (k Key) hash() uint64 {
	d := xxhash.New()
	for _, part := range []string{k.Workspace, k.Route, k.Value} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
)

// entry is one recorded call. It is immutable once it is part of a head.
type entry struct {
	Key    Key    `json:"key"`
	Digest string `json:"digest"`
	// Nonce identifies the single dispatch that the intent permits.
	Nonce     string    `json:"nonce"`
	Requester requester `json:"by"`
	// BegunMs and EndedMs are times of the store's clock in Unix milliseconds.
	BegunMs int64 `json:"atMs"`
	EndedMs int64 `json:"endedMs,omitempty"`
	// Outcome is nil while the call is in progress.
	Outcome *Outcome `json:"outcome,omitempty"`

	encoded json.RawMessage
}

// encode returns the entry as JSON. The result is cached, because the same
// entries are written with many versions of a head.
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

// withOutcome returns a copy of the entry with an outcome that was recorded at
// now.
func (e *entry) withOutcome(outcome Outcome, now time.Time) *entry {
	c := *e
	c.Outcome, c.EndedMs, c.encoded = &outcome, now.UnixMilli(), nil
	return &c
}

// maxKeyBytes bounds the caller-supplied value of a key, in bytes; a longer
// value is replaced by its SHA-256 digest.
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

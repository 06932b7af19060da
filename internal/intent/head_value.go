package intent

import "encoding/json"

// headValue is the stored form of a head.
type headValue struct {
	// Write is unique to each write, so that a read-back tells one's own write
	// from another's.
	Write    string            `json:"write"`
	Segments []segmentRef      `json:"segments,omitempty"`
	Entries  []json.RawMessage `json:"entries"`
	// Withdrawn maps nonces to the end of their notes.
	Withdrawn map[string]int64 `json:"withdrawn,omitempty"`
}

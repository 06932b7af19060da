package intent

import "encoding/json"

// headValue is the stored form of a head.
type headValue struct {
	// WriteID is unique to each write, so that a writer that reads the object
	// back can distinguish its own write from another writer's.
	WriteID  string            `json:"write"`
	Segments []segmentRef      `json:"segments,omitempty"`
	Entries  []json.RawMessage `json:"entries"`
	// Withdrawn maps the nonces of withdrawn intents to their expiry in Unix
	// milliseconds.
	Withdrawn map[string]int64 `json:"withdrawn,omitempty"`
}

package intent

import "encoding/json"

// segmentValue is the stored form of a segment.
type segmentValue struct {
	Entries []json.RawMessage `json:"entries"`
}

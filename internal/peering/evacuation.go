package peering

import "rattantide/internal/objectclient"

// Evacuation is the set of failure domains to whose upstreams nothing may be sent, at a
// revision of the store.
type Evacuation struct {
	Revision objectclient.Revision `json:"r"`
	Domains  []string              `json:"d,omitempty"`
	// AgeMs is the time since the set was last confirmed, in milliseconds.
	AgeMs int64 `json:"a"`
}

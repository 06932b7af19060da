package configsync

import (
	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
)

// Feed is the answer of a daemon to a poll for configuration and membership.
type Feed struct {
	// Synced says that the sender has a configuration in effect.
	Synced bool `json:"synced"`
	// Revision is the store revision up to which the sender knows everything.
	Revision int64 `json:"revision"`
	// Full says that Objects is everything up to Revision, so that an object
	// which is missing from it was deleted.
	Full    bool                  `json:"full,omitempty"`
	Objects []objectclient.Object `json:"objects,omitempty"`
	// Membership holds what changed in the sender's Table, leaving
	// announcements included.
	Membership *membership.State `json:"membership,omitempty"`
}

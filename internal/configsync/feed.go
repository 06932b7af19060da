package configsync

import (
	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
)

// Feed is a daemon's response to a poll for configuration and membership.
type Feed struct {
	// Synced is set if the sender has a configuration in effect.
	Synced bool `json:"synced"`
	// Revision is the store revision up to which the sender has applied all changes.
	Revision objectclient.Revision `json:"revision"`
	// Full is set if Objects contains all objects up to Revision, so that an object
	// missing from it has been deleted.
	Full    bool                  `json:"full,omitempty"`
	Objects []objectclient.Object `json:"objects,omitempty"`
	// Membership holds the changes of the sender's Table, including announcements;
	// nil if there are none.
	Membership *membership.State `json:"membership,omitempty"`
}

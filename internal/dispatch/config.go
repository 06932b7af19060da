package dispatch

import "rattantide/internal/configsync"

// Config provides the configuration in effect. It is implemented by
// configsync.Cache.
type Config interface {
	Snapshot() *configsync.View
}

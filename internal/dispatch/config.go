package dispatch

import "rattantide/internal/configsync"

// Config gives the configuration in effect. The implementation of the own
// interface is configsync.Cache.
type Config interface {
	Snapshot() *configsync.View
}

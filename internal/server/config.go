package server

import "rattantide/internal/configsync"

// Config provides the configuration in effect. *configsync.Cache implements it.
type Config interface {
	Snapshot() *configsync.View
}

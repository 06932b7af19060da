// Package configsync maintains the configuration in effect on a daemon and updates
// it from the object API or from peers. The version of an object never decreases,
// whatever its source.
//
// A Syncer keeps a Cache, which holds the configuration as a View, and a
// membership.Table up to date. In each region, a few daemons act as relays: they read
// the object API and the platform's services, and the other daemons poll them.
package configsync

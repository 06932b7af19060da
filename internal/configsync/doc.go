// Package configsync maintains the configuration in effect on a daemon and updates
// it from the object API or from peers. The version of an object never decreases,
// whatever its source.
package configsync

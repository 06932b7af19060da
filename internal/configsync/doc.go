// Package configsync keeps the configuration that is in effect on a daemon and
// brings it up to date from the object API or from peers. Versions of an
// object only increase, whatever their source.
package configsync

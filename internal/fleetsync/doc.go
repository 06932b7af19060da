// Package fleetsync keeps the configuration and the list of upstreams as the store
// has them. Configuration is read at short intervals rather than watched: only an
// answer to a read proves that a key was still valid when the read was sent.
package fleetsync

// Package fleetsync keeps the configuration and the list of upstreams in step with
// the store. The configuration is read at short intervals rather than watched:
// only the response to a read proves that an API key was still valid when the read
// was sent.
package fleetsync

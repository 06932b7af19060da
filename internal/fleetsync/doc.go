// Package fleetsync keeps the configuration (ConfigSync), the list of upstreams
// (UpstreamSync) and the evacuated failure domains (EvacuationSync) in step with the store. Only some daemons read the store regularly;
// the others receive its contents from them. The configuration is read at short
// intervals rather than watched: only the response to a read proves that an API key
// was still valid when the read was sent.
package fleetsync

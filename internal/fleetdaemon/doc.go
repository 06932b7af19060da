// Package fleetdaemon assembles the components of command rattantide-gateway, the
// daemon of deployments on the operators' platform: package gateway serves the callers,
// the configuration and the list of upstreams come from the platform's metadata store,
// and the holder of a lease runs the duties of the whole deployment. Package platform
// defines the formats on the wire.
package fleetdaemon

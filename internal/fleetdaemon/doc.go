// Package fleetdaemon assembles the daemon for a deployment on the operators'
// platform: callers' requests pass through package gateway, configuration and
// upstreams come from the platform's store, and one daemon at a time holds the
// duties. Package platform translates all that crosses the wire.
package fleetdaemon

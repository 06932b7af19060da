// Package fleetconfig defines the configuration of a deployment in the form that
// the request path uses: routes by host and path, services, workspaces with their
// API keys and quotas, and the limits for callers. Values are immutable once built.
package fleetconfig

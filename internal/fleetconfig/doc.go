// Package fleetconfig holds the configuration of a deployment as the request
// path uses it: routes by host and path, services, workspaces with their keys
// and quotas, and the limits for callers. Values are immutable once built.
package fleetconfig

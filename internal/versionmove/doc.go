// Package versionmove moves the traffic of a service to upstreams of another
// version, as an operator declares it. The holder of the duties decides how much
// the new version gets, from what all daemons saw of it; the daemons follow.
package versionmove

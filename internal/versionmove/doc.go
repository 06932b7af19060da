// Package versionmove moves the traffic of a service to upstreams of another
// version, as declared by an operator. The Recorder of each daemon counts the results
// of the versions, and a Ledger holds the counts of all daemons. From these, the
// Controller of the daemon that holds the duty (see package lease) decides which share
// of the traffic the new version gets. The Follower of every daemon provides that share
// to the request path. Command rattantide-gateway uses this package; command
// rattantided uses package rollout instead.
package versionmove

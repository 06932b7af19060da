// Package versionmove moves the traffic of a service to upstreams of another
// version, as declared by an operator. The holder of the duty decides which share
// of the traffic the new version gets, based on the results that all daemons
// measured; every daemon applies that share. Command rattantide-gateway uses this
// package; command rattantided uses package rollout instead.
package versionmove

// Package routing selects the upstream for an attempt. Policies are pure
// functions of a request and its candidates; Tracker maintains the state from
// which candidates are built.
package routing

// Package routing selects the upstream for an attempt. Policies are pure
// functions of a request and its candidates; Tracker keeps the state that
// candidates are built from.
package routing

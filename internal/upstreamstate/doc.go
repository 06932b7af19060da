// Package upstreamstate exchanges the state of upstreams between the daemons of a fleet: the
// load and the pace that upstreams report in their answers, and their lasting speed, which is
// learned from the answers. A single daemon hears from an upstream rarely, the fleet several
// times a second.
//
// Every daemon sends what it has observed to the collectors, which send the merged state to all
// daemons. The state is held in memory only and decays with age; an upstream without an
// entry is unknown, not idle. All functions take the time as an argument and do no I/O.
package upstreamstate

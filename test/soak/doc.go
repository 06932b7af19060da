// Package soak runs the daemons of a deployment as processes against stand-ins of
// the platform and of the runners, injects faults that a seed selects, and checks
// the guarantees to callers against the records of the clients and the runners.
package soak

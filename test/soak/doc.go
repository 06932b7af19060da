// Package soak runs the daemons of a deployment as processes between the
// platform's stand-ins, injects faults by seed, and checks from what callers and
// runners saw that the promises held.
package soak

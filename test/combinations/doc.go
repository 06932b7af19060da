// Package combinations runs daemons and stand-ins as processes, injects two faults
// that a seed selects, and checks the answers that callers received against the call
// logs of the stand-ins.
package combinations

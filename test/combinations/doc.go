// Package combinations runs real processes under two faults that a seed
// chooses, and checks the answers that callers got against the logs of the
// stand-ins.
package combinations

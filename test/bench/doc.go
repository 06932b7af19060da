// Package bench measures the daemon as a process of its own against the
// stand-ins, each figure with a baseline of the same run.
package bench

// Package bench measures the daemon as a separate process against stand-ins. Each
// figure comes with a baseline from the same run.
package bench

// Package bench measures the daemon as a separate process against stand-ins. Each
// figure comes with a baseline from the same run. Memory is reported in MiB, also where
// the name of the metric contains MB.
package bench

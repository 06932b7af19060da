// Package proc starts and stops programs of this repository for demonstrations,
// scenarios and benchmarks, and builds them for tests. The daemon does not use it.
// Start waits until the program is ready and Launch does not; Eventually waits for any
// other condition.
package proc

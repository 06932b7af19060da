// Package proc starts and stops programs of this repository for demonstrations,
// scenarios and benchmarks. The daemon does not use it.
package proc

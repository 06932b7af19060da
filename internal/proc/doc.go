// Package proc starts and ends programs of this repository for demonstrations,
// scenarios and measurements. The daemon does not use it.
package proc

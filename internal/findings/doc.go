// Package findings collects everything that is wrong with an input, each
// finding with its path, so that all of it can be reported at once.
package findings

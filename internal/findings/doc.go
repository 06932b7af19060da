// Package findings collects the validation findings of an input, each with the
// path of the invalid value, so that all of them can be reported at once.
package findings

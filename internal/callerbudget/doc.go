// Package callerbudget decides how much of a scarce resource, bytes or connections, the
// requests of callers may hold. It does no I/O and takes the time as an argument.
package callerbudget

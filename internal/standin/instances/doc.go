// Package instances simulates the instance list of the platform, which can lag
// behind the actual state and can be frozen.
package instances

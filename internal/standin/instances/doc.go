// Package instances is the stand-in of the platform's instance list, which
// lags behind and can be frozen.
package instances

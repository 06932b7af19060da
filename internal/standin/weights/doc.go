// Package weights is the stand-in of the weight store, which is rate-limited.
package weights

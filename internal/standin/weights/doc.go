// Package weights simulates the weight store, which is rate-limited.
package weights

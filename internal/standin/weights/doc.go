// Package weights simulates the weight store, from which engines read the weights of
// a model version. It limits the rate and the number of concurrent reads, and can
// simulate an outage or a missing version.
package weights

// Package load generates chat traffic with open-loop arrivals. It measures the time
// to the first token, the time between tokens, and the number of complete
// responses. Each run sends a limited number of requests.
package load

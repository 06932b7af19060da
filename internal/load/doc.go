// Package load generates chat traffic with open-loop arrivals and measures the
// time to the first token, the time between tokens, and completeness. Each run
// is bounded by a number of requests.
package load

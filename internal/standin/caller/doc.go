// Package caller simulates callers of a deployment that send the first tries of requests to
// each daemon at a steady rate, and judges how they were answered.
package caller

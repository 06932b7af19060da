// Package callers tests the gateway's program with callers that nobody controls: each test
// starts a daemon with low limits, lets a crowd of callers misbehave in one way, and checks
// that the process lives, that its memory and descriptors stay under a bound, and that an
// ordinary request is answered afterwards. The tests must not run in parallel.
package callers

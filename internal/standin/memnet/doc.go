// Package memnet serves an http.Handler over connections in memory. Unlike
// loopback sockets they work in the bubbles of testing/synctest, where time
// passes only when every goroutine waits.
package memnet

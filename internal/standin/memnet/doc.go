// Package memnet serves an http.Handler over in-memory connections. Unlike
// loopback sockets, they work in the bubbles of testing/synctest, where time
// advances only while every goroutine is blocked.
package memnet

// Package upstreamconn is the HTTP/1.1 client for upstreams. It differs from
// net/http's in what at-most-once calls need: it never repeats a request by
// itself, says whether any byte of it was sent, looks at a kept connection
// before it is used again, and drops a connection that carries surplus bytes.
package upstreamconn

// Package upstreamconn implements the HTTP/1.1 client for upstreams. It differs from
// the client of net/http in what at-most-once requests require: it never retries a
// request, it reports whether any byte of the request was sent, it checks an idle
// connection before reusing it, and it closes a connection with surplus bytes.
package upstreamconn

// Package upstreamwatch polls the load reports and cache events of the upstreams
// that this daemon sends work to, within a byte budget, and passes them to the
// membership table and to routing.
package upstreamwatch

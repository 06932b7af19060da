// Package upstreamwatch polls the load reports and cache events of the
// upstreams that this daemon works with, within a budget of bytes, and passes
// them to the membership table and to routing.
package upstreamwatch

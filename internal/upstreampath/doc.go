// Package upstreampath judges whether this daemon reaches the upstreams of a pool at all. It
// learns from the connections of requests, and opens connections itself only while a pool is
// silent or lost. What it judges concerns the daemon's own path; it says nothing of the
// upstreams.
package upstreampath

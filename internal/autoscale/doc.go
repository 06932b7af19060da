// Package autoscale decides how many upstreams a service has in each failure
// domain, and orders them. Reclaimable upstreams are cheap and leave together by
// failure domain; a few others stay in each domain so that the service never
// depends on the reclaimable ones alone.
package autoscale

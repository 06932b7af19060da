// Package autoscale decides how many upstreams a service has in each failure
// domain, and orders them. Reclaimable upstreams are cheaper, but all those of a
// failure domain can be reclaimed at the same time; each service therefore also
// has some on-demand upstreams and never depends on reclaimable ones alone. The
// Controller of the daemon that holds the duty (see package lease) sends the orders; a
// Planner per service decides on them from the live upstreams and the latencies of
// recent requests, which the daemons count in Histograms.
package autoscale

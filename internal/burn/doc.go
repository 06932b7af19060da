// Package burn records how fast each class spends the error budget of its
// service-level goals, and which workspaces, versions, failure domains and
// upstreams spend it. Measurements of several daemons are merged as histograms;
// percentiles are never averaged.
package burn

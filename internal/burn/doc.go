// Package burn records how fast each class spends its service-level budget,
// and what spends it. Histograms of several daemons are merged as histograms;
// percentiles are never averaged.
package burn

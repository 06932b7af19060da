// Package telemetry provides the JSON-lines logger and the tally metrics scope, which
// is exposed in the Prometheus text format.
package telemetry

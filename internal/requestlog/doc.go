// Package requestlog reads the structured logs of daemons: all lines about one
// request, across processes and in the order of time, and a summary of why
// requests were not served.
package requestlog

// Package requestlog parses the structured logs of daemons. It provides the lines
// about a request, across processes and ordered by time, and a summary of why
// requests were not served.
package requestlog

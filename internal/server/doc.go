// Package server serves the caller API: chat completions, resumption, entries
// and plain services. A request's attempts run apart from its caller's
// connection, which only reads the request's record.
package server

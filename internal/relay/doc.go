// Package relay reads and writes server-sent events whose identifiers are numbers.
// It does not decode the payload of events.
package relay

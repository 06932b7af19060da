// Package relay reads and writes server-sent events with numbered tokens,
// without decoding the payload where bytes can pass through.
package relay

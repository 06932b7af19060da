// Package client calls a rattantide system. It discovers the addresses of
// daemons, retries what may be retried, and resumes streams at another daemon
// without losing or repeating an event.
package client

// Package client is a client library for a rattantide system. It discovers the
// addresses of daemons, retries requests where that is safe, and resumes streams
// at another daemon without losing or repeating an event.
package client

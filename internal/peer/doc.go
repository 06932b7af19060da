// Package peer provides JSON calls between daemons: a client with a bearer
// token and typed errors, and typed handlers on iris.
package peer

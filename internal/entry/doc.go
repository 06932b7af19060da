// Package entry answers which daemons a caller should connect to. There is no
// load balancer, so the order of this answer spreads the callers.
package entry

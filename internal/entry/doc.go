// Package entry chooses the daemons that a caller should connect to. There is no
// load balancer: the order of the chosen entries distributes the callers.
package entry

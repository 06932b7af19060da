// Package gateway is a reverse proxy that forwards requests unchanged: it selects
// the route, authenticates the caller, enforces the quota of the workspace, and
// sends the request to an upstream that the dispatcher chooses. Responses and
// events are relayed as the upstream sent them.
//
// A Server handles each request in an exchange, which makes the attempts at upstreams.
// Package dispatch implements admission, the choice of the upstream, retry budgets and
// version moves; a Codec defines the header names on the wire.
package gateway

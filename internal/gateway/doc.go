// Package gateway serves callers whose requests pass through unchanged: it finds
// the route, authenticates, holds the workspace to its quota, and sends the
// request to an upstream that the dispatcher chooses. Answers and events are
// passed on as the upstream sent them. Admission, choice of upstream, budgets and
// version moves are those of package dispatch; names on the wire are those of a
// Codec.
package gateway

// Package dispatch decides, for each attempt of a request, when it may start
// and at which upstream. It combines admission, version moves, membership and
// routing, and reports the result of each attempt back to them. Dispatcher.Choose
// returns the upstream of an attempt; the caller reports the result through the
// callbacks of the returned Choice.
package dispatch

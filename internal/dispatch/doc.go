// Package dispatch decides, for each attempt of a request, when it may start
// and at which upstream. It combines admission, version moves, membership and
// routing, and reports the result of each attempt back to them.
package dispatch

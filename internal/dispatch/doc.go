// Package dispatch decides, for each attempt of a request, when it may start
// and which upstream gets it. It combines admission, version moves,
// membership and routing, and feeds the outcome back to them.
package dispatch

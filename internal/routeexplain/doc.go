// Package routeexplain holds the input and the output of "rattantide explain route", which asks a
// daemon what would happen to a request at this moment.
package routeexplain

// Package daemon assembles the components of command rattantided, runs them, and
// stops them in an order that does not interrupt open requests.
package daemon

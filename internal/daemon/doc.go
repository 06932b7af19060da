// Package daemon assembles the parts of a daemon, runs them, and stops them in
// the order that cuts no request.
package daemon

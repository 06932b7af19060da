// Package fleetload sums the demand of all daemons for the pools and sends every daemon the
// result. Each daemon reports to two collectors, which send the sums to all daemons. All
// state is in memory and is relearned after a loss.
package fleetload

// Package handoff stores a copy of each request record at a backup daemon in
// another failure domain, hands records over before this daemon leaves, and
// takes over records of daemons that are gone.
//
// The holder of a record is the daemon that processes it and sends its events to
// callers. The epoch of a record increases with each change of its holder. The
// backup decides about such a change: it grants each epoch to at most one daemon.
// A holder that was frozen, that is, whose process was suspended for a while,
// detects the gap on its own clock and asks the backup before it sends further
// events.
package handoff

// Package handoff stores a copy of each request record at a backup daemon in
// another failure domain, hands records over before this daemon leaves, and
// takes over records of daemons that are gone.
//
// The epoch of a record increases with each change of its holder. The backup
// decides about such a change: it grants each epoch to at most one daemon. A
// holder that was frozen detects the gap on its own clock and asks the backup
// before it sends further events.
package handoff

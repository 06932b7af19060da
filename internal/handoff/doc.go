// Package handoff keeps a copy of each request record at a backup daemon in
// another failure domain, hands records over before this daemon leaves, and
// takes records over from daemons that are gone.
//
// A record's epoch rises with each change of its holder. The backup is where a
// change is decided: it grants each epoch to one daemon. A holder that was
// frozen notices the gap in its own time and asks the backup before it sends
// anything further.
package handoff

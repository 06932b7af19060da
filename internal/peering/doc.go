// Package peering lets daemons know of each other: who is there, who is ready,
// which configuration each has and how fresh it is, and the counts that one of
// them reports for all. Each daemon asks the others in turn by datagrams; an
// answer proves that its sender was alive after the question was sent, which a
// message that arrives by itself would not after a suspension.
package peering

// Package quarantine finds the requests that crash upstreams and keeps them away from the
// upstreams: those that contain a certain part of a prompt, and those that come again as a
// whole. Both are called parts here; a Tracker judges parts of one kind.
//
// A request whose connection was lost before its answer had begun is suspect, and so is
// each of its parts. A part is cleared by an answer that has begun on it; the part that causes
// the crashes never is. Each daemon sees few of the crashes and of the answers, so the
// Trackers of all daemons exchange their Evidence and decide on the sum of it.
package quarantine

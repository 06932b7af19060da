// Package quarantine finds the parts of prompts that crash upstreams and keeps requests
// that contain them away from the upstreams.
//
// A request whose connection was lost before its answer had begun is suspect, and so is
// each part that its prompt shares with others. A part is cleared by an answer that has
// begun on it; the part that causes the crashes never is. Each daemon sees few of the
// crashes and of the answers, so the Trackers of all daemons exchange their Evidence and
// decide on the sum of it.
package quarantine

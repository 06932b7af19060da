// Package membership keeps a daemon's view of the other daemons and of the
// upstreams: who is there, who is leaving, and how loaded the upstreams are. It
// combines the lagging instance list, announcements, reclaim notices and
// direct evidence from calls.
package membership

// Package membership maintains a daemon's view of the other daemons and of the
// upstreams: which exist, which are leaving, and how loaded the upstreams are. It
// combines the lagging instance list, announcements by the instances, reclaim
// notices, and evidence from calls to the upstreams.
package membership

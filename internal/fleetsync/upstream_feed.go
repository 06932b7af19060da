package fleetsync

import (
	"time"

	"rattantide/internal/peering"
)

// Absorb takes over what another daemon tells of the list: its changes after the
// revision that this daemon named, up to revision. confirmedAt is when they were
// known to be all, on the boot clock.
func (u *UpstreamSync) Absorb(feed peering.Feed, revision int64, confirmedAt time.Time) {
	if !feed.Complete {
		return
	}
	u.takeChanges(feed.Since, feed.Changes, revision, confirmedAt)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.listed && feed.Since <= u.revision && confirmedAt.After(u.fedAt) {
		u.fedAt = confirmedAt
	}
}

// Feed returns the changes after a revision for another daemon.
func (u *UpstreamSync) Feed(since int64) peering.Feed {
	u.mu.Lock()
	defer u.mu.Unlock()
	feed := peering.Feed{Since: since}
	if !u.listed || since < u.logFrom || since > u.revision {
		return feed
	}
	for i := range u.log {
		if u.log[i].Revision > since {
			feed.Changes = append(feed.Changes, u.log[i])
		}
	}
	if len(feed.Changes) > maxFeed {
		return peering.Feed{Since: since}
	}
	feed.Complete = true
	return feed
}

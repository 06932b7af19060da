package fleetsync

import (
	"time"

	"rattantide/internal/objectclient"
	"rattantide/internal/peering"
)

// ApplyFeed applies a feed from another daemon: the changes of the list after
// feed.Since up to revision. confirmedAt is the time at which they are known to
// have been complete, on the boot clock. An incomplete feed is ignored.
func (u *UpstreamSync) ApplyFeed(feed peering.Feed, revision objectclient.Revision, confirmedAt time.Time) {
	if !feed.Complete {
		return
	}
	u.applyChanges(feed.Since, feed.Changes, revision, confirmedAt)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.isComplete && feed.Since <= u.revision && confirmedAt.After(u.feedConfirmedAt) {
		u.feedConfirmedAt = confirmedAt
	}
}

// Feed returns the changes after a revision, for another daemon. The feed is
// incomplete if some of them are no longer in the change log, or if there are more
// than fit into a datagram.
func (u *UpstreamSync) Feed(since objectclient.Revision) peering.Feed {
	u.mu.Lock()
	defer u.mu.Unlock()
	feed := peering.Feed{Since: since}
	if !u.isComplete || since < u.changeLogStart || since > u.revision {
		return feed
	}
	bytes := 0
	for i := range u.changeLog {
		if u.changeLog[i].Revision > since {
			feed.Changes = append(feed.Changes, u.changeLog[i])
			bytes += len(u.changeLog[i].Name) + len(u.changeLog[i].Value)
		}
	}
	if len(feed.Changes) > maxFeedChanges || bytes > maxFeedBytes {
		return peering.Feed{Since: since}
	}
	feed.Complete = true
	return feed
}

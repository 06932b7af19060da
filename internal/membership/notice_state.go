package membership

import "time"

// noticeState is the latest notice for a failure domain or an instance.
type noticeState struct {
	seq int64
	// isReclaim is set for a reclaim and unset for a cancellation.
	isReclaim bool
	deadline  time.Time
	// changeSeq is the Table's change counter when the notice of a domain was
	// applied.
	changeSeq int64
}

// covers reports whether the notice applies to an instance that becomes known at
// now: the list lags, so the instance may have been running when the notice was
// sent.
func (n noticeState) covers(now time.Time) bool { return n.isReclaim && now.Before(n.deadline) }

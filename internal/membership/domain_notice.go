package membership

import "time"

// domainNotice is the latest reclaim notice of a failure domain.
type domainNotice struct {
	seq     int64
	noticed bool
	by      time.Time
	// changed is the Table's change counter when the notice was taken over.
	changed int64
}

// covers reports whether an instance that is first seen now is meant as well:
// the list lags, so it may have been running when the notice was sent.
func (d domainNotice) covers(now time.Time) bool { return d.noticed && now.Before(d.by) }

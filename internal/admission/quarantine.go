package admission

import "time"

const (
	// quarantineCrashes is how many different upstreams a request may crash
	// before it is no longer tried.
	quarantineCrashes = 2
	// quarantineTime is how long a request stays in quarantine, and how long a
	// single crash is remembered.
	quarantineTime = 10 * time.Minute
	maxQuarantine  = 4096
)

type crashRecord struct {
	upstreams []string
	at        time.Time
}

// quarantine remembers which upstreams a request's content crashed.
type quarantine struct {
	records map[uint64]*crashRecord
}

func (q *quarantine) crashed(fingerprint uint64, upstream string, now time.Time) {
	if fingerprint == 0 {
		return
	}
	if q.records == nil {
		q.records = map[uint64]*crashRecord{}
	}
	r := q.records[fingerprint]
	if r == nil || now.Sub(r.at) > quarantineTime {
		q.makeRoom(now)
		r = &crashRecord{}
		q.records[fingerprint] = r
	}
	r.at = now
	for _, u := range r.upstreams {
		if u == upstream {
			return
		}
	}
	r.upstreams = append(r.upstreams, upstream)
}

func (q *quarantine) holds(fingerprint uint64, now time.Time) bool {
	r := q.records[fingerprint]
	return r != nil && len(r.upstreams) >= quarantineCrashes && now.Sub(r.at) <= quarantineTime
}

// suspects reports whether the content was on an upstream that crashed.
func (q *quarantine) suspects(fingerprint uint64, now time.Time) bool {
	r := q.records[fingerprint]
	return r != nil && now.Sub(r.at) <= quarantineTime
}

// makeRoom drops expired records, or else the oldest one.
func (q *quarantine) makeRoom(now time.Time) {
	if len(q.records) < maxQuarantine {
		return
	}
	var oldest uint64
	var oldestAt time.Time
	for f, r := range q.records {
		if now.Sub(r.at) > quarantineTime {
			delete(q.records, f)
			continue
		}
		if oldestAt.IsZero() || r.at.Before(oldestAt) {
			oldest, oldestAt = f, r.at
		}
	}
	if len(q.records) >= maxQuarantine {
		delete(q.records, oldest)
	}
}

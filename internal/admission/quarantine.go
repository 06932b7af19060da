package admission

import "time"

const (
	// quarantineCrashes is the number of different upstreams that a request may
	// crash before it is quarantined.
	quarantineCrashes = 2
	// quarantineTime is how long a request remains in quarantine, and how long
	// a single crash is remembered.
	quarantineTime       = 10 * time.Minute
	maxQuarantineRecords = 4096
)

type crashRecord struct {
	upstreams   []string
	lastCrashAt time.Time
}

// quarantine records which upstreams were lost while they had a request's
// content. The zero value is ready to use.
type quarantine struct {
	records map[uint64]*crashRecord
}

// recordCrash records that an upstream crashed while it had the content. A
// fingerprint of 0, which means that there is none, is ignored.
func (q *quarantine) recordCrash(fingerprint uint64, upstream string, now time.Time) {
	if fingerprint == 0 {
		return
	}
	if q.records == nil {
		q.records = map[uint64]*crashRecord{}
	}
	r := q.records[fingerprint]
	if r == nil || now.Sub(r.lastCrashAt) > quarantineTime {
		q.evict(now)
		r = &crashRecord{}
		q.records[fingerprint] = r
	}
	r.lastCrashAt = now
	for _, u := range r.upstreams {
		if u == upstream {
			return
		}
	}
	r.upstreams = append(r.upstreams, upstream)
}

func (q *quarantine) isQuarantined(fingerprint uint64, now time.Time) bool {
	r := q.records[fingerprint]
	return r != nil && len(r.upstreams) >= quarantineCrashes && now.Sub(r.lastCrashAt) <= quarantineTime
}

// isSuspected reports whether the content was running on an upstream when that
// upstream crashed.
func (q *quarantine) isSuspected(fingerprint uint64, now time.Time) bool {
	r := q.records[fingerprint]
	return r != nil && now.Sub(r.lastCrashAt) <= quarantineTime
}

// evict makes room for another record: it drops expired records, or else the
// oldest one.
func (q *quarantine) evict(now time.Time) {
	if len(q.records) < maxQuarantineRecords {
		return
	}
	var oldest uint64
	var oldestAt time.Time
	for f, r := range q.records {
		if now.Sub(r.lastCrashAt) > quarantineTime {
			delete(q.records, f)
			continue
		}
		if oldestAt.IsZero() || r.lastCrashAt.Before(oldestAt) {
			oldest, oldestAt = f, r.lastCrashAt
		}
	}
	if len(q.records) >= maxQuarantineRecords {
		delete(q.records, oldest)
	}
}

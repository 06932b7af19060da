package journal

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// recordOverhead is the memory charged to a record in addition to its body and
// events, in bytes.
const recordOverhead = 1 << 10

// Journal holds the records of this daemon. All methods are safe for concurrent
// use.
type Journal struct {
	options      Options
	chargedBytes atomic.Int64
	dropCounters map[error]tally.Counter

	mu      sync.RWMutex
	records map[string]*Record
	// ended and delivered list the records that are retained for callers that
	// may reconnect, each in order of expiry.
	ended, delivered retentionList
	timer            *time.Timer
	closed           bool
}

// New returns an empty Journal.
func New(options Options) *Journal {
	options = options.withDefaults()
	j := &Journal{options: options, records: map[string]*Record{}, dropCounters: map[error]tally.Counter{}}
	for reason, tag := range map[error]string{
		ErrStaleAttempt: "stale_attempt", ErrDuplicateEvent: "duplicate", ErrGap: "gap",
		ErrEnded: "ended", ErrTooLarge: "too_large",
	} {
		j.dropCounters[reason] = options.Scope.Tagged(map[string]string{"reason": tag}).Counter("journal_dropped_events")
	}
	return j
}

// Create adds a record in StateAccepted with epoch 1. It returns ErrExists when
// the identifier is in use, except by a request that was not run, or ErrTooLarge
// when the journal is full.
func (j *Journal) Create(request Request) (*Record, error) {
	rec := &Record{Request: request, state: StateAccepted, epoch: 1}
	if err := j.add(rec); err != nil {
		return nil, err
	}
	return rec, nil
}

func (j *Journal) add(rec *Record) error {
	rec.journal, rec.done = j, make(chan struct{})
	rec.chargedBytes += int64(len(rec.Body)) + recordOverhead
	j.mu.Lock()
	defer j.mu.Unlock()
	if existing := j.records[rec.ID]; existing != nil {
		status := existing.Status()
		// A record that moved to another daemon may return with a higher epoch,
		// and a request that was not run may be sent again.
		if status.Outcome != OutcomeNotRun && (!status.Moved || status.Epoch >= rec.epoch) {
			return ErrExists
		}
		j.removeLocked(existing)
	}
	for !j.reserve(rec.chargedBytes, j.options.MaxBytes-j.options.MaxBytes/8) {
		if !j.evictOldestLocked() {
			return ErrTooLarge
		}
	}
	j.records[rec.ID] = rec
	return nil
}

// Get returns the record with the identifier, or nil.
func (j *Journal) Get(id string) *Record {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.records[id]
}

// OpenRecords returns the records that this daemon must still serve: unfinished
// ones, and those with waiting callers.
func (j *Journal) OpenRecords() []*Record {
	j.mu.RLock()
	defer j.mu.RUnlock()
	out := make([]*Record, 0, len(j.records))
	for _, rec := range j.records {
		if rec.needsHolder() {
			out = append(out, rec)
		}
	}
	return out
}

// ChargedBytes returns the memory charged to records and reservations, in bytes.
func (j *Journal) ChargedBytes() int64 { return j.chargedBytes.Load() }

// Reserve charges n bytes for buffers outside of records. Like new records, they
// must fit into seven eighths of Options.MaxBytes. Reserve evicts ended records as
// needed and returns false if the bytes still do not fit. Release must be called
// to return them.
func (j *Journal) Reserve(n int64) bool {
	limit := j.options.MaxBytes - j.options.MaxBytes/8
	for !j.reserve(n, limit) {
		j.mu.Lock()
		evicted := j.evictOldestLocked()
		j.mu.Unlock()
		if !evicted {
			return false
		}
	}
	return true
}

// EvictFor evicts ended records until n bytes are free, so that an answer in
// progress can grow. It does not reserve the bytes. It returns false if they cannot
// be freed.
func (j *Journal) EvictFor(n int64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for j.chargedBytes.Load()+n > j.options.MaxBytes {
		if !j.evictOldestLocked() {
			return false
		}
	}
	return true
}

// Release returns n bytes charged by Reserve.
func (j *Journal) Release(n int64) { j.uncharge(n) }

// Remove removes a record.
func (j *Journal) Remove(rec *Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.removeLocked(rec)
}

// Close stops the removal of expired records.
func (j *Journal) Close() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.closed = true
	if j.timer != nil {
		j.timer.Stop()
	}
}

func (j *Journal) reserve(n, limit int64) bool {
	if j.chargedBytes.Add(n) <= limit {
		return true
	}
	j.chargedBytes.Add(-n)
	return false
}

func (j *Journal) charge(n int64) bool { return j.reserve(n, j.options.MaxBytes) }

func (j *Journal) uncharge(n int64) { j.chargedBytes.Add(-n) }

func (j *Journal) countDrop(reason error) error {
	j.dropCounters[reason].Inc(1)
	return reason
}

// retainEnded retains an ended record for Options.Retention.
func (j *Journal) retainEnded(rec *Record) { j.setRetention(rec, &j.ended, j.options.Retention) }

// retainDelivered retains a record whose answer was delivered for the shorter
// Options.DeliveredRetention.
func (j *Journal) retainDelivered(rec *Record) {
	j.setRetention(rec, &j.delivered, j.options.DeliveredRetention)
}

func (j *Journal) setRetention(rec *Record, list *retentionList, d time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.records[rec.ID] != rec {
		return
	}
	list.add(rec, time.Now().Add(d))
	j.armTimerLocked()
}

// armTimerLocked sets the timer to the earliest expiry.
func (j *Journal) armTimerLocked() {
	expiresAt, ok := j.ended.nextExpiry()
	if other, found := j.delivered.nextExpiry(); found && (!ok || other.Before(expiresAt)) {
		expiresAt, ok = other, true
	}
	if !ok || j.closed {
		return
	}
	if j.timer == nil {
		j.timer = time.AfterFunc(time.Until(expiresAt), j.removeExpired)
		return
	}
	j.timer.Reset(time.Until(expiresAt))
}

func (j *Journal) removeExpired() {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	for _, list := range []*retentionList{&j.ended, &j.delivered} {
		for expiresAt, ok := list.nextExpiry(); ok && !expiresAt.After(now); expiresAt, ok = list.nextExpiry() {
			j.removeLocked(list.first())
		}
	}
	j.armTimerLocked()
}

// evictOldestLocked removes the ended record that expires first; records whose
// answer was delivered are removed before others. It returns false when there
// is none.
func (j *Journal) evictOldestLocked() bool {
	for _, list := range []*retentionList{&j.delivered, &j.ended} {
		if rec := list.first(); rec != nil {
			j.removeLocked(rec)
			return true
		}
	}
	return false
}

func (j *Journal) removeLocked(rec *Record) {
	if j.records[rec.ID] != rec {
		return
	}
	delete(j.records, rec.ID)
	rec.retention.remove()
	rec.mu.Lock()
	charged := rec.chargedBytes
	rec.chargedBytes = 0
	rec.mu.Unlock()
	j.uncharge(charged)
}

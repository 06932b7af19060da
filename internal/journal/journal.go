package journal

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// recordOverhead is what a record takes beside its body and events, in bytes.
const recordOverhead = 1 << 10

// Journal holds the records of this daemon. All methods are safe for
// concurrent use.
type Journal struct {
	options Options
	bytes   atomic.Int64
	drops   map[error]tally.Counter

	mu      sync.RWMutex
	records map[string]*Record
	// retained lists ended records in the order of their end.
	retained []retained
	timer    *time.Timer
	closed   bool
}

type retained struct {
	record *Record
	until  time.Time
}

// New returns an empty Journal.
func New(options Options) *Journal {
	options = options.withDefaults()
	j := &Journal{options: options, records: map[string]*Record{}, drops: map[error]tally.Counter{}}
	for reason, tag := range map[error]string{
		ErrStaleAttempt: "stale_attempt", ErrDuplicateEvent: "duplicate", ErrGap: "gap",
		ErrEnded: "ended", ErrTooLarge: "too_large",
	} {
		j.drops[reason] = options.Scope.Tagged(map[string]string{"reason": tag}).Counter("journal_dropped_events")
	}
	return j
}

// Create adds a record in StateAccepted with epoch 1.
func (j *Journal) Create(request Request) (*Record, error) {
	rec := &Record{Request: request, state: StateAccepted, epoch: 1}
	if err := j.add(rec); err != nil {
		return nil, err
	}
	return rec, nil
}

func (j *Journal) add(rec *Record) error {
	rec.journal, rec.ended = j, make(chan struct{})
	rec.held += int64(len(rec.Body)) + recordOverhead
	j.mu.Lock()
	defer j.mu.Unlock()
	if held := j.records[rec.ID]; held != nil {
		status := held.Status()
		// A record that moved away may come back with a higher epoch.
		if !status.Moved || status.Epoch >= rec.epoch {
			return ErrExists
		}
		j.removeLocked(held)
	}
	for !j.reserve(rec.held, j.options.MaxBytes-j.options.MaxBytes/8) {
		if len(j.retained) == 0 {
			return ErrTooLarge
		}
		j.dropOldestLocked()
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

// Held returns the records that this daemon is to answer for: those that have
// not finished, and those that callers are still reading.
func (j *Journal) Held() []*Record {
	j.mu.RLock()
	defer j.mu.RUnlock()
	out := make([]*Record, 0, len(j.records))
	for _, rec := range j.records {
		if rec.wanted() {
			out = append(out, rec)
		}
	}
	return out
}

// Bytes returns the memory that is charged to the records and reservations.
func (j *Journal) Bytes() int64 { return j.bytes.Load() }

// Reserve charges n bytes of buffers that are not part of a record to the same
// limit. It reports false when they do not fit. Release gives them back.
func (j *Journal) Reserve(n int64) bool {
	limit := j.options.MaxBytes - j.options.MaxBytes/8
	for !j.reserve(n, limit) {
		j.mu.Lock()
		if len(j.retained) == 0 {
			j.mu.Unlock()
			return false
		}
		j.dropOldestLocked()
		j.mu.Unlock()
	}
	return true
}

// Release gives back what Reserve took.
func (j *Journal) Release(n int64) { j.credit(n) }

// Remove forgets a record.
func (j *Journal) Remove(rec *Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.removeLocked(rec)
}

// Close stops the removal of ended records.
func (j *Journal) Close() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.closed = true
	if j.timer != nil {
		j.timer.Stop()
	}
}

func (j *Journal) reserve(n, limit int64) bool {
	if j.bytes.Add(n) <= limit {
		return true
	}
	j.bytes.Add(-n)
	return false
}

func (j *Journal) charge(n int64) bool { return j.reserve(n, j.options.MaxBytes) }

func (j *Journal) credit(n int64) { j.bytes.Add(-n) }

func (j *Journal) dropped(reason error) error {
	j.drops[reason].Inc(1)
	return reason
}

// retain keeps an ended record until its time is over.
func (j *Journal) retain(rec *Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.records[rec.ID] != rec {
		return
	}
	j.retained = append(j.retained, retained{record: rec, until: time.Now().Add(j.options.Retain)})
	j.armLocked()
}

func (j *Journal) armLocked() {
	if j.closed || j.timer != nil || len(j.retained) == 0 {
		return
	}
	j.timer = time.AfterFunc(time.Until(j.retained[0].until), j.expire)
}

func (j *Journal) expire() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.timer = nil
	now := time.Now()
	for len(j.retained) > 0 && !j.retained[0].until.After(now) {
		j.dropOldestLocked()
	}
	j.armLocked()
}

func (j *Journal) dropOldestLocked() {
	oldest := j.retained[0].record
	j.retained[0] = retained{}
	j.retained = j.retained[1:]
	j.removeLocked(oldest)
}

func (j *Journal) removeLocked(rec *Record) {
	if j.records[rec.ID] != rec {
		return
	}
	delete(j.records, rec.ID)
	rec.mu.Lock()
	held := rec.held
	rec.held = 0
	rec.mu.Unlock()
	j.credit(held)
}

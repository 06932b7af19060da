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
	// ended and delivered are the records that are kept for callers that may
	// return, each in the order in which their time is over.
	ended, delivered retention
	timer            *time.Timer
	closed           bool
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
		// A record that moved away may come back with a higher epoch, and a
		// request that was not run may be sent again.
		if status.Outcome != OutcomeNotRun && (!status.Moved || status.Epoch >= rec.epoch) {
			return ErrExists
		}
		j.removeLocked(held)
	}
	for !j.reserve(rec.held, j.options.MaxBytes-j.options.MaxBytes/8) {
		if !j.dropOldestLocked() {
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
		dropped := j.dropOldestLocked()
		j.mu.Unlock()
		if !dropped {
			return false
		}
	}
	return true
}

// MakeRoom forgets ended records until n bytes are free, so that an answer that
// has begun can grow. It reports whether they are.
func (j *Journal) MakeRoom(n int64) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for j.bytes.Load()+n > j.options.MaxBytes {
		if !j.dropOldestLocked() {
			return false
		}
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
func (j *Journal) retain(rec *Record) { j.keep(rec, &j.ended, j.options.Retain) }

// shorten lets a record go earlier, because its answer was delivered.
func (j *Journal) shorten(rec *Record) { j.keep(rec, &j.delivered, j.options.RetainDelivered) }

func (j *Journal) keep(rec *Record, in *retention, d time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.records[rec.ID] != rec {
		return
	}
	in.add(rec, time.Now().Add(d))
	j.armLocked()
}

// armLocked lets the timer run until the first record's time is over.
func (j *Journal) armLocked() {
	until, ok := j.ended.next()
	if other, found := j.delivered.next(); found && (!ok || other.Before(until)) {
		until, ok = other, true
	}
	if !ok || j.closed {
		return
	}
	if j.timer == nil {
		j.timer = time.AfterFunc(time.Until(until), j.expire)
		return
	}
	j.timer.Reset(time.Until(until))
}

func (j *Journal) expire() {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	for _, list := range []*retention{&j.ended, &j.delivered} {
		for until, ok := list.next(); ok && !until.After(now); until, ok = list.next() {
			j.removeLocked(list.first())
		}
	}
	j.armLocked()
}

// dropOldestLocked makes room; records whose answer was delivered go first.
func (j *Journal) dropOldestLocked() bool {
	for _, list := range []*retention{&j.delivered, &j.ended} {
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
	rec.kept.remove()
	rec.mu.Lock()
	held := rec.held
	rec.held = 0
	rec.mu.Unlock()
	j.credit(held)
}

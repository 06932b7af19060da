package journal

import (
	"bytes"
	"time"

	"github.com/juju/errors"
)

// Copy is the form in which daemons send a record to each other.
type Copy struct {
	Request Request `json:"request"`
	// AgeMs and RemainingMs are the time since acceptance and the time until
	// the deadline. They are durations because the clocks of two daemons
	// differ.
	AgeMs       int64     `json:"ageMs"`
	RemainingMs int64     `json:"remainingMs"`
	Epoch       int64     `json:"epoch"`
	Attempts    []Attempt `json:"attempts,omitempty"`
	// Frames holds the events in the form that callers receive. It is empty in
	// the copy for a backup.
	Frames    []byte `json:"frames,omitempty"`
	Delivered int64  `json:"delivered"`
}

// Copy returns a copy of the record's current state. Without events, a streamed
// answer counts as delivered from its first attempt on, because the copy is not
// updated for each event. The copy shares memory with the record: its byte and hash
// slices must not be modified.
func (r *Record) Copy(withEvents bool) *Copy {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &Copy{
		Request: r.Request, AgeMs: now.Sub(r.AcceptedAt).Milliseconds(),
		RemainingMs: r.Deadline.Sub(now).Milliseconds(), Epoch: r.epoch,
		Attempts: append([]Attempt(nil), r.attempts...), Delivered: r.delivered,
	}
	switch {
	case withEvents:
		c.Frames = r.frames[:len(r.frames):len(r.frames)]
	case r.Stream && len(r.attempts) > 0:
		c.Delivered = max(c.Delivered, 1)
	}
	return c
}

// Import adds a record from another daemon under a new epoch. Processing does
// not begin until the record is started. Import returns ErrExists when this
// daemon holds the record or knows it under the same or a higher epoch,
// ErrTooLarge when the journal is full, and an error of type NotValid when the
// events are malformed.
func (j *Journal) Import(c *Copy, epoch int64) (*Record, error) {
	now := time.Now()
	rec := &Record{Request: c.Request, state: StateAccepted, epoch: epoch, delivered: c.Delivered}
	rec.AcceptedAt = now.Add(-time.Duration(c.AgeMs) * time.Millisecond)
	rec.Deadline = now.Add(time.Duration(c.RemainingMs) * time.Millisecond)
	rec.attempts = append(rec.attempts, c.Attempts...)
	rec.detachedAt = now
	end := 0
	for end < len(c.Frames) {
		length := bytes.Index(c.Frames[end:], []byte("\n\n"))
		if length < 0 || !bytes.HasPrefix(c.Frames[end:], []byte("id: ")) {
			return nil, errors.NotValidf("events of record %q", c.Request.ID)
		}
		end += length + 2
		rec.frameEnds = append(rec.frameEnds, end)
	}
	rec.frames = bytes.Clone(c.Frames)
	rec.chargedBytes = int64(cap(rec.frames))
	if err := j.add(rec); err != nil {
		return nil, err
	}
	return rec, nil
}

// RaiseEpoch sets a higher epoch under which this daemon remains the holder. A
// lower epoch is ignored.
func (r *Record) RaiseEpoch(epoch int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.epoch = max(r.epoch, epoch)
}

// MarkDelivered records that a caller has received all events. If the record is
// finished, its retention is shortened to Options.DeliveredRetention.
func (r *Record) MarkDelivered() {
	r.mu.Lock()
	r.delivered = max(r.delivered, int64(len(r.frameEnds)))
	first := r.state == StateFinished && !r.endDelivered
	r.endDelivered = r.endDelivered || first
	r.mu.Unlock()
	if first {
		r.journal.retainDelivered(r)
	}
}

// IsDelivered reports whether a caller has received the whole answer or the
// problem.
func (r *Record) IsDelivered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endDelivered
}

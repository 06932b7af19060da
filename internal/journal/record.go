package journal

import (
	"bytes"
	"strconv"
	"sync"
	"time"

	"rattantide/internal/problem"
)

// Record is one request held by this daemon. All methods are safe for
// concurrent use.
type Record struct {
	Request

	journal *Journal
	// done is closed when the record finishes or moves.
	done chan struct{}
	// retention is guarded by the journal's mutex.
	retention retentionEntry

	mu       sync.Mutex
	state    State
	outcome  Outcome
	problem  *problem.Problem
	epoch    int64
	attempts []Attempt
	// moved reports that another daemon now holds the record; its address may
	// be unknown.
	moved     bool
	successor string
	delivered int64
	// endDelivered is set once a caller has received the end of the answer.
	endDelivered bool
	// frames holds the events as they are written to callers. It is
	// append-only, so a Reader may use a slice of it without the lock.
	frames []byte
	// frameEnds[i] is the offset in frames at which event i+1 ends.
	frameEnds []int
	// chargedBytes is the memory charged to the journal for this record.
	chargedBytes int64
	readers      []*Reader
	// waitingCallers counts callers that wait for this record. detachedAt is
	// the time of the last Detach, or of the import.
	waitingCallers int
	detachedAt     time.Time
}

// SetState sets a state other than StateFinished. It has no effect on a
// finished record.
func (r *Record) SetState(state State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != StateFinished {
		r.state = state
	}
}

// BeginAttempt starts the next attempt and returns its number. From now on,
// events of earlier attempts are dropped. The number is 0 when the record has
// ended.
func (r *Record) BeginAttempt(upstream, address, version string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hasEndedLocked() {
		return 0
	}
	number := 1
	if n := len(r.attempts); n > 0 {
		number = r.attempts[n-1].Number + 1
	}
	r.attempts = append(r.attempts, Attempt{
		Number: number, Upstream: upstream, Address: address, Version: version,
		FirstEvent: int64(len(r.frameEnds)) + 1,
	})
	r.state = StateDispatched
	return number
}

// Append adds the event with the given number from an attempt. Any event other
// than the next one of the current attempt is dropped and counted, and the
// reason is returned. data is copied.
func (r *Record) Append(attempt int, number int64, data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := int64(len(r.frameEnds))
	switch {
	case r.hasEndedLocked():
		return r.journal.countDrop(ErrEnded)
	case len(r.attempts) == 0 || attempt != r.attempts[len(r.attempts)-1].Number:
		return r.journal.countDrop(ErrStaleAttempt)
	case number <= last:
		return r.journal.countDrop(ErrDuplicateEvent)
	case number > last+1:
		return r.journal.countDrop(ErrGap)
	}
	if len(r.frames)+len(data) > r.journal.options.MaxRecordBytes {
		return r.journal.countDrop(ErrTooLarge)
	}
	frames := appendFrame(r.frames, number, data)
	// Memory is charged by capacity, so that the counter shared by all records
	// is updated only when a buffer grows.
	if grown := int64(cap(frames) - cap(r.frames)); grown > 0 {
		if !r.journal.charge(grown) {
			return r.journal.countDrop(ErrTooLarge)
		}
		r.chargedBytes += grown
	}
	r.frames = frames
	r.frameEnds = append(r.frameEnds, len(frames))
	r.state = StateStreaming
	r.notifyReadersLocked()
	return nil
}

// Restart removes all events so that the answer can start again, unless an
// event was delivered to a caller. It reports whether it did.
func (r *Record) Restart() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.delivered > 0 || r.hasEndedLocked() {
		return false
	}
	// A Reader may still use the old buffer, so it is not reused.
	r.journal.uncharge(int64(cap(r.frames)))
	r.chargedBytes -= int64(cap(r.frames))
	r.frames, r.frameEnds = nil, nil
	return true
}

// Finish ends the record with an outcome and, unless that is OutcomeDone, with the
// problem p that callers receive. It has no effect on a record that has finished or
// moved. Finish reports whether this call ended the record.
func (r *Record) Finish(outcome Outcome, p *problem.Problem) bool {
	r.mu.Lock()
	if r.hasEndedLocked() {
		r.mu.Unlock()
		return false
	}
	r.state, r.outcome, r.problem = StateFinished, outcome, p
	close(r.done)
	r.mu.Unlock()
	r.journal.retainEnded(r)
	return true
}

// MarkMoved ends the record on this daemon because another daemon holds it, or
// may hold it, under a higher epoch. successor is the address of that daemon, if
// known. A finished record can move too; after that this daemon sends no more of
// its events. MarkMoved reports whether this call moved the record.
func (r *Record) MarkMoved(epoch int64, successor string) bool {
	r.mu.Lock()
	if r.moved || epoch <= r.epoch {
		r.mu.Unlock()
		return false
	}
	r.epoch, r.moved, r.successor = epoch, true, successor
	finished := r.state == StateFinished
	if !finished {
		close(r.done)
	}
	r.notifyReadersLocked()
	r.mu.Unlock()
	if !finished {
		r.journal.retainEnded(r)
	}
	return true
}

// needsHolder reports whether this daemon must still serve the record: it is
// unfinished or has waiting callers.
func (r *Record) needsHolder() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.moved && (r.state != StateFinished || r.waitingCallers > 0)
}

// Done returns a channel that is closed when the record finishes or moves.
func (r *Record) Done() <-chan struct{} { return r.done }

// Status returns a snapshot of the record's state.
func (r *Record) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Status{
		State: r.state, Outcome: r.outcome, Problem: r.problem, Epoch: r.epoch,
		Events: int64(len(r.frameEnds)), Delivered: r.delivered, Moved: r.moved, Successor: r.successor,
		Attempts: append([]Attempt(nil), r.attempts...),
	}
}

// Epoch returns the epoch under which this daemon holds or held the record, or
// the successor's after a move.
func (r *Record) Epoch() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.epoch
}

// HasMoved reports whether another daemon holds the record.
func (r *Record) HasMoved() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.moved
}

// LastEvent returns the number of the last event, or 0 if there is none.
func (r *Record) LastEvent() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(len(r.frameEnds))
}

// Events returns the payloads of all events, in order.
func (r *Record) Events() [][]byte {
	r.mu.Lock()
	frames, ends := r.frames, r.frameEnds
	r.mu.Unlock()
	out := make([][]byte, 0, len(ends))
	start := 0
	for _, end := range ends {
		out = append(out, framePayload(frames[start:end]))
		start = end
	}
	return out
}

func (r *Record) hasEndedLocked() bool { return r.state == StateFinished || r.moved }

func (r *Record) notifyReadersLocked() {
	for _, reader := range r.readers {
		select {
		case reader.changed <- struct{}{}:
		default:
		}
	}
}

func appendFrame(b []byte, number int64, data []byte) []byte {
	if free, need := cap(b)-len(b), len(data)+32; free < need {
		// Growth starts at only 2 KiB, because each of 1,000 open streams has a
		// buffer.
		grown := make([]byte, len(b), max(2*cap(b), len(b)+need, 2<<10))
		copy(grown, b)
		b = grown
	}
	b = append(b, "id: "...)
	b = strconv.AppendInt(b, number, 10)
	for {
		line, rest, more := bytes.Cut(data, []byte{'\n'})
		b = append(b, "\ndata: "...)
		b = append(b, line...)
		if !more {
			return append(b, "\n\n"...)
		}
		data = rest
	}
}

// framePayload returns the data of a frame; it is the inverse of appendFrame.
func framePayload(frame []byte) []byte {
	_, rest, _ := bytes.Cut(frame, []byte("\ndata: "))
	rest = bytes.TrimSuffix(rest, []byte("\n\n"))
	return bytes.ReplaceAll(rest, []byte("\ndata: "), []byte{'\n'})
}

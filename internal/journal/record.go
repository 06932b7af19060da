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
	// ended is closed when the record finishes or moves.
	ended chan struct{}
	// kept is guarded by the journal's mutex.
	kept kept

	mu       sync.Mutex
	state    State
	outcome  Outcome
	problem  *problem.Problem
	epoch    int64
	attempts []Attempt
	// moved says that another daemon holds the record now; its address may be
	// unknown.
	moved     bool
	successor string
	delivered int64
	// complete is set once a caller has got the end of the answer.
	complete bool
	// frames holds the events as they are written to callers. It is only
	// appended to, so a Reader may use a part of it without the lock.
	frames []byte
	// ends[i] is where event i+1 ends in frames.
	ends    []int
	held    int64
	readers []*Reader
	// attached counts callers that wait for this record.
	attached   int
	detachedAt time.Time
}

// SetState moves the record to a state before StateFinished.
func (r *Record) SetState(state State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != StateFinished {
		r.state = state
	}
}

// BeginAttempt starts the next attempt and returns its number. Events of
// earlier attempts are dropped from now on. The number is 0 when the record has
// ended.
func (r *Record) BeginAttempt(upstream, address, version string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endedLocked() {
		return 0
	}
	number := 1
	if n := len(r.attempts); n > 0 {
		number = r.attempts[n-1].Number + 1
	}
	r.attempts = append(r.attempts, Attempt{
		Number: number, Upstream: upstream, Address: address, Version: version,
		FirstEvent: int64(len(r.ends)) + 1,
	})
	r.state = StateDispatched
	return number
}

// Append takes over event number of an attempt. Any event but the next one of
// the current attempt is dropped and counted, and the reason is returned. data
// is copied.
func (r *Record) Append(attempt int, number int64, data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := int64(len(r.ends))
	switch {
	case r.endedLocked():
		return r.journal.dropped(ErrEnded)
	case len(r.attempts) == 0 || attempt != r.attempts[len(r.attempts)-1].Number:
		return r.journal.dropped(ErrStaleAttempt)
	case number <= last:
		return r.journal.dropped(ErrDuplicateEvent)
	case number > last+1:
		return r.journal.dropped(ErrGap)
	}
	if len(r.frames)+len(data) > r.journal.options.MaxRecordBytes {
		return r.journal.dropped(ErrTooLarge)
	}
	frames := appendFrame(r.frames, number, data)
	// The budget is charged by capacity, so that the counter which all records
	// share is touched only when a buffer grows.
	if grown := int64(cap(frames) - cap(r.frames)); grown > 0 {
		if !r.journal.charge(grown) {
			return r.journal.dropped(ErrTooLarge)
		}
		r.held += grown
	}
	r.frames = frames
	r.ends = append(r.ends, len(frames))
	r.state = StateStreaming
	r.wakeLocked()
	return nil
}

// Restart drops all events so that the answer can start again, provided that
// none was delivered to a caller. It reports whether it did.
func (r *Record) Restart() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.delivered > 0 || r.endedLocked() {
		return false
	}
	// A Reader may still use the old buffer, hence a new one.
	r.journal.credit(int64(cap(r.frames)))
	r.held -= int64(cap(r.frames))
	r.frames, r.ends = nil, nil
	return true
}

// Finish ends the record. The first call wins; it reports whether it was this.
func (r *Record) Finish(outcome Outcome, p *problem.Problem) bool {
	r.mu.Lock()
	if r.endedLocked() {
		r.mu.Unlock()
		return false
	}
	r.state, r.outcome, r.problem = StateFinished, outcome, p
	close(r.ended)
	r.mu.Unlock()
	r.journal.retain(r)
	return true
}

// Move ends the record here because a daemon with a higher epoch holds it, or
// may hold it; successor is its address, if known. A finished record can move
// too, and then nothing more of it is sent from here. Move reports whether the
// record moved with this call.
func (r *Record) Move(epoch int64, successor string) bool {
	r.mu.Lock()
	if r.moved || epoch <= r.epoch {
		r.mu.Unlock()
		return false
	}
	r.epoch, r.moved, r.successor = epoch, true, successor
	finished := r.state == StateFinished
	if !finished {
		close(r.ended)
	}
	r.wakeLocked()
	r.mu.Unlock()
	if !finished {
		r.journal.retain(r)
	}
	return true
}

// wanted reports whether a caller may still get something of the record here.
func (r *Record) wanted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.moved && (r.state != StateFinished || r.attached > 0)
}

// Ended returns a channel that is closed when the record finishes or moves.
func (r *Record) Ended() <-chan struct{} { return r.ended }

// Status returns the state of the record.
func (r *Record) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Status{
		State: r.state, Outcome: r.outcome, Problem: r.problem, Epoch: r.epoch,
		Events: int64(len(r.ends)), Delivered: r.delivered, Moved: r.moved, Successor: r.successor,
		Attempts: append([]Attempt(nil), r.attempts...),
	}
}

// Epoch returns the epoch under which the record is or was held here.
func (r *Record) Epoch() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.epoch
}

// Moved reports whether another daemon holds the record.
func (r *Record) Moved() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.moved
}

// Last returns the number of the last event held.
func (r *Record) Last() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(len(r.ends))
}

// Events returns the payloads of all events held, in order.
func (r *Record) Events() [][]byte {
	r.mu.Lock()
	frames, ends := r.frames, r.ends
	r.mu.Unlock()
	out := make([][]byte, 0, len(ends))
	start := 0
	for _, end := range ends {
		out = append(out, payload(frames[start:end]))
		start = end
	}
	return out
}

func (r *Record) endedLocked() bool { return r.state == StateFinished || r.moved }

func (r *Record) wakeLocked() {
	for _, reader := range r.readers {
		select {
		case reader.wake <- struct{}{}:
		default:
		}
	}
}

func appendFrame(b []byte, number int64, data []byte) []byte {
	if free, need := cap(b)-len(b), len(data)+32; free < need {
		// Doubling starts at 2 KB, because 1,000 open streams hold one each.
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

// payload is the reverse of appendFrame.
func payload(frame []byte) []byte {
	_, rest, _ := bytes.Cut(frame, []byte("\ndata: "))
	rest = bytes.TrimSuffix(rest, []byte("\n\n"))
	return bytes.ReplaceAll(rest, []byte("\ndata: "), []byte{'\n'})
}

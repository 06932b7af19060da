package journal

import (
	"context"
	"io"
	"time"
)

// Reader reads the events of a record in order for one caller. It must be used
// by only one goroutine and must be closed.
type Reader struct {
	record *Record
	// position is the number of the last event returned.
	position int64
	changed  chan struct{}
}

// NewReader returns a Reader that starts after the event with number after.
func (r *Record) NewReader(after int64) *Reader {
	reader := &Reader{record: r, position: max(after, 0), changed: make(chan struct{}, 1)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers = append(r.readers, reader)
	// The caller has received these events even if this daemon does not have
	// them yet.
	r.delivered = max(r.delivered, reader.position)
	return reader
}

// Next blocks until there are events and returns all available ones, in the
// form of the server-sent events that callers receive. The bytes must not be
// modified. Next returns io.EOF at the end of the record, ErrMoved when the
// record has another holder, or the error of ctx.
func (r *Reader) Next(ctx context.Context) ([]byte, error) {
	rec := r.record
	for {
		rec.mu.Lock()
		if rec.moved {
			rec.mu.Unlock()
			return nil, ErrMoved
		}
		if last := int64(len(rec.frameEnds)); r.position < last {
			start := 0
			if r.position > 0 {
				start = rec.frameEnds[r.position-1]
			}
			frames := rec.frames[start:len(rec.frames):len(rec.frames)]
			r.position = last
			rec.delivered = max(rec.delivered, last)
			rec.mu.Unlock()
			return frames, nil
		}
		finished := rec.state == StateFinished
		rec.mu.Unlock()
		if finished {
			return nil, io.EOF
		}
		select {
		case <-r.changed:
		case <-rec.done:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Close removes the reader from its record.
func (r *Reader) Close() {
	rec := r.record
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for i, other := range rec.readers {
		if other == r {
			rec.readers = append(rec.readers[:i], rec.readers[i+1:]...)
			return
		}
	}
}

// Attach adds a waiting caller to the record.
func (r *Record) Attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waitingCallers++
}

// Detach removes a waiting caller that Attach added. It reports whether none is
// left.
func (r *Record) Detach() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waitingCallers--
	r.detachedAt = time.Now()
	return r.waitingCallers == 0
}

// IsAbandoned reports whether no caller is waiting for the record.
func (r *Record) IsAbandoned() bool { return r.IsAbandonedFor(0) }

// IsAbandonedFor reports whether the record has been without a waiting caller for
// at least d.
func (r *Record) IsAbandonedFor(d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.waitingCallers == 0 && time.Since(r.detachedAt) >= d
}

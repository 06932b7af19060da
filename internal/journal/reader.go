package journal

import (
	"context"
	"io"
	"time"
)

// Reader hands the events of a record to one caller, in order. It is used by
// one goroutine and must be closed.
type Reader struct {
	record *Record
	// position is the number of the last event handed out.
	position int64
	wake     chan struct{}
}

// Read returns a Reader that starts behind event after.
func (r *Record) Read(after int64) *Reader {
	reader := &Reader{record: r, position: max(after, 0), wake: make(chan struct{}, 1)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers = append(r.readers, reader)
	// The caller has these events even when this daemon does not hold them yet.
	r.delivered = max(r.delivered, reader.position)
	return reader
}

// Next waits for events and returns all that are there, as the server-sent
// events that callers receive. The bytes must not be changed. At the end it
// returns io.EOF, or ErrMoved when the record has another holder.
func (r *Reader) Next(ctx context.Context) ([]byte, error) {
	rec := r.record
	for {
		rec.mu.Lock()
		if rec.moved {
			rec.mu.Unlock()
			return nil, ErrMoved
		}
		if last := int64(len(rec.ends)); r.position < last {
			start := 0
			if r.position > 0 {
				start = rec.ends[r.position-1]
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
		case <-r.wake:
		case <-rec.ended:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Close detaches the reader.
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

// Attach counts a caller that waits for this record.
func (r *Record) Attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attached++
}

// Detach ends what Attach began. It reports whether no caller is left.
func (r *Record) Detach() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attached--
	r.detachedAt = time.Now()
	return r.attached == 0
}

// Abandoned reports whether no caller waits for this record.
func (r *Record) Abandoned() bool { return r.AbandonedFor(0) }

// AbandonedFor reports whether no caller has waited for this record for d.
func (r *Record) AbandonedFor(d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attached == 0 && time.Since(r.detachedAt) >= d
}

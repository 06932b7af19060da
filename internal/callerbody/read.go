package callerbody

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/callerbudget"
)

const (
	// ErrTooLarge means that a body exceeds the limit.
	ErrTooLarge = errors.ConstError("body too large")
	// ErrNoRoom means that the budget has no room for a body.
	ErrNoRoom = errors.ConstError("too many bytes of requests are held")
	// ErrTooSlow means that a body has stalled or cannot be complete in time.
	ErrTooSlow = errors.ConstError("body too slow")
)

const (
	// initialBytes is the largest buffer that is allocated before any byte has arrived.
	initialBytes = 4 << 10
	// revocableAfter is the time after which the reservation of an incomplete body may be
	// revoked for another. Ordinary callers send a body of the largest size in less.
	revocableAfter = time.Second
	// renewInterval is the least time by which the deadline of a read is moved.
	renewInterval = 250 * time.Millisecond
)

// Options are the limits of one body.
type Options struct {
	Budget *callerbudget.Budget
	Caller callerbudget.Caller
	// Limit is the largest size of a body.
	Limit int64
	// Deadline is that of the request; zero means none.
	Deadline time.Time
	// Reserve charges bytes to a second budget, if it is not nil, and reports whether that
	// has room. The caller of Read returns Body.Size bytes to it.
	Reserve func(n int64) bool
}

// Body is what a request holds: its header and its body. Release must be called.
type Body struct {
	// Bytes is the complete body; nil if the request has none.
	Bytes       []byte
	reservation *callerbudget.Reservation
	size        int64
	// reserve is Options.Reserve.
	reserve func(n int64) bool
}

// Release returns what the request holds to the budget.
func (b *Body) Release() {
	b.Bytes = nil
	if b.reservation != nil {
		b.reservation.Close()
	}
}

// Size returns how many bytes were charged with Options.Reserve.
func (b *Body) Size() int64 { return b.size }

// Read reads the body of a request. It returns one of the errors above, or the error of the
// connection; after any error the connection is closed once the answer is written, and no
// more of the body is read. The returned Body is never nil.
func Read(w http.ResponseWriter, r *http.Request, o Options) (*Body, error) {
	b := &Body{reserve: o.Reserve}
	control := http.NewResponseController(w)
	b.reservation = o.Budget.Open(o.Caller, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	err := b.read(control, w, r, o)
	if err != nil {
		b.Bytes = nil
		CloseAfterAnswer(w)
	}
	return b, err
}

// read charges the header and reads the body.
func (b *Body) read(control *http.ResponseController, w http.ResponseWriter, r *http.Request, o Options) error {
	if r.ContentLength > o.Limit {
		return ErrTooLarge
	}
	now := time.Now()
	if !b.reservation.Grow(HeaderBytes(r), now) {
		return ErrNoRoom
	}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	p := callerbudget.Progress{StartedAt: now, LastAt: now, Deadline: o.Deadline, Length: r.ContentLength}
	// A revocation sets an earlier deadline, so this one is set before.
	_ = control.SetReadDeadline(p.Expiry())
	b.reservation.MakeRevocable(now.Add(revocableAfter))
	if conn := connOf(r.Context()); conn != nil {
		conn.MakeRevocable(now.Add(revocableAfter))
		defer conn.Pin()
	}
	if err := b.receive(control, http.MaxBytesReader(w, r.Body, o.Limit), p, o.Limit); err != nil {
		return err
	}
	if !b.reservation.Pin() {
		return ErrNoRoom
	}
	// The server goes on to read from the connection, to notice that it is closed.
	_ = control.SetReadDeadline(time.Time{})
	return nil
}

// receive reads the body to its end, and moves the read deadline, which is p.Expiry() at
// first, with its progress.
func (b *Body) receive(control *http.ResponseController, body io.Reader, p callerbudget.Progress, limit int64) error {
	expiry := p.Expiry()
	for int64(len(b.Bytes)) != p.Length {
		if len(b.Bytes) == cap(b.Bytes) && !b.grow(growth(cap(b.Bytes), p.Length, limit), p.LastAt) {
			return ErrNoRoom
		}
		n, err := body.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return b.readError(err)
		}
		if int64(len(b.Bytes)) == p.Length {
			break
		}
		p.Received, p.LastAt = int64(len(b.Bytes)), time.Now()
		next := p.Expiry()
		if next.Before(p.LastAt) {
			return ErrTooSlow
		}
		if next.Sub(expiry) > renewInterval || expiry.Sub(next) > renewInterval {
			expiry = next
			_ = control.SetReadDeadline(expiry)
			// The reservation may have been revoked just before.
			if b.reservation.IsRevoked() {
				return ErrNoRoom
			}
		}
	}
	return nil
}

// grow charges and allocates a buffer of the given size.
func (b *Body) grow(size int, now time.Time) bool {
	more := int64(size - cap(b.Bytes))
	if !b.reservation.Grow(more, now) {
		return false
	}
	if b.reserve != nil {
		if !b.reserve(more) {
			return false
		}
		b.size += more
	}
	b.Bytes = append(make([]byte, 0, size), b.Bytes...)
	return true
}

// growth returns the size of the buffer that follows one that is full. It is at most twice
// what has arrived, so that an announced length alone costs nothing.
func growth(full int, length, limit int64) int {
	next := max(initialBytes, 2*full)
	if length >= 0 {
		return int(min(int64(next), length))
	}
	// The end of a body of unknown length is found by a read for which there is room.
	return int(min(int64(next), limit+1))
}

// readError returns the error for a failed read.
func (b *Body) readError(err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return ErrTooLarge
	case b.reservation.IsRevoked():
		return ErrNoRoom
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrTooSlow
	}
	return errors.Trace(err)
}

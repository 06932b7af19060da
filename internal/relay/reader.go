package relay

import (
	"bytes"
	"io"
	"math"
)

const (
	// DefaultMaxEvent bounds one event when the caller of NewReader sets no limit.
	DefaultMaxEvent = 64 << 10
	// initialBuffer holds several token events; 1,000 open streams take 4 MB.
	initialBuffer = 4 << 10
	// maxEmptyReads ends a read from a source that keeps returning nothing.
	maxEmptyReads = 100
)

var byteOrderMark = []byte("\xef\xbb\xbf")

// Reader reads server-sent events. It keeps one buffer, so that reading needs
// no allocation per event. It is used by one goroutine at a time.
type Reader struct {
	// OnComment, when set, is called with the text of each comment line. The
	// text is valid during the call only.
	OnComment func(text []byte)

	source io.Reader
	limit  int
	buf    []byte
	// start is the first byte of the current event, pos the next unread line,
	// scanned how far that line has been searched for its end, end the last
	// byte read.
	start, pos, scanned, end int
	// dataStart and dataEnd delimit the data of the current event.
	dataStart, dataEnd int
	hasData            bool
	id                 int64
	begun, skipLF      bool
	err                error
}

// NewReader returns a Reader from source that accepts events of at most
// maxEvent bytes, including field names and line ends. DefaultMaxEvent applies
// when maxEvent is not positive.
func NewReader(source io.Reader, maxEvent int) *Reader {
	if maxEvent <= 0 {
		maxEvent = DefaultMaxEvent
	}
	return &Reader{source: source, limit: maxEvent, buf: make([]byte, min(initialBuffer, maxEvent+1))}
}

// Next returns the next event that has data. The data is valid until the next
// call. At the end of the stream the error is io.EOF, or io.ErrUnexpectedEOF
// within an event; other errors are *SizeError, *FormatError or the source's
// error. An error is final.
func (r *Reader) Next() (Event, error) {
	if r.err != nil {
		return Event{}, r.err
	}
	r.reset()
	for {
		line, ok := r.line()
		if !ok {
			if err := r.fill(); err != nil {
				r.err = err
				return Event{}, err
			}
			continue
		}
		if len(line) == 0 {
			if r.pos-r.start > r.limit {
				r.err = &SizeError{Limit: r.limit}
				return Event{}, r.err
			}
			if r.hasData {
				return Event{ID: r.id, Data: r.buf[r.dataStart:r.dataEnd:r.dataEnd]}, nil
			}
			r.reset()
			continue
		}
		if err := r.field(line); err != nil {
			r.err = err
			return Event{}, err
		}
	}
}

// reset begins the next event at the current position.
func (r *Reader) reset() {
	r.start, r.id, r.hasData = r.pos, 0, false
	r.dataStart, r.dataEnd = r.pos, r.pos
}

// line returns the next complete line without its end. Lines end with LF, CRLF
// or CR; the LF after a CR is skipped when it arrives, so that a lone CR at the
// end of the buffer does not wait for another byte.
func (r *Reader) line() ([]byte, bool) {
	if r.skipLF && r.pos < r.end {
		r.skipLF = false
		if r.buf[r.pos] == '\n' {
			if r.start == r.pos {
				r.start++
			}
			r.pos++
			r.scanned = max(r.scanned, r.pos)
		}
	}
	window := r.buf[r.scanned:r.end]
	at := bytes.IndexByte(window, '\n')
	if at >= 0 {
		window = window[:at]
	}
	if cr := bytes.IndexByte(window, '\r'); cr >= 0 {
		at = cr
		r.skipLF = true
	}
	if at < 0 {
		r.scanned = r.end
		return nil, false
	}
	line := r.buf[r.pos : r.scanned+at]
	r.pos = r.scanned + at + 1
	r.scanned = r.pos
	if !r.begun {
		r.begun = true
		line = bytes.TrimPrefix(line, byteOrderMark)
	}
	return line, true
}

// field applies one line to the current event.
func (r *Reader) field(line []byte) error {
	if line[0] == ':' {
		if r.OnComment != nil {
			r.OnComment(bytes.TrimPrefix(line[1:], []byte(" ")))
		}
		if !r.hasData && r.id == 0 {
			// Comments between events do not count against the size of the next.
			r.reset()
		}
		return nil
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	if len(value) > 0 && value[0] == ' ' {
		value = value[1:]
	}
	switch string(name) {
	case "data":
		r.appendData(value)
	case "id":
		id, ok := parseID(value)
		if !ok {
			return &FormatError{Reason: "event identifier is not a number"}
		}
		r.id = id
	}
	// Other fields are ignored, as the event stream format demands.
	return nil
}

// appendData adds a data line. A second line is moved to the end of the first
// within the buffer: the field name and the line end between them leave room
// for the joining '\n'.
func (r *Reader) appendData(value []byte) {
	if !r.hasData {
		r.hasData = true
		r.dataEnd = r.pos - 1
		r.dataStart = r.dataEnd - len(value)
		return
	}
	r.buf[r.dataEnd] = '\n'
	r.dataEnd += 1 + copy(r.buf[r.dataEnd+1:], value)
}

// fill reads more bytes behind those in the buffer.
func (r *Reader) fill() error {
	if r.end-r.start > r.limit {
		return &SizeError{Limit: r.limit}
	}
	if r.start > 0 && (r.start == r.end || r.end == len(r.buf)) {
		copy(r.buf, r.buf[r.start:r.end])
		shift := r.start
		r.start, r.pos, r.scanned, r.end = 0, r.pos-shift, r.scanned-shift, r.end-shift
		r.dataStart, r.dataEnd = r.dataStart-shift, r.dataEnd-shift
	}
	if r.end == len(r.buf) {
		// One byte above the limit tells an oversized event from one that fits.
		grown := make([]byte, min(2*len(r.buf), r.limit+1))
		copy(grown, r.buf)
		r.buf = grown
	}
	for range maxEmptyReads {
		n, err := r.source.Read(r.buf[r.end:])
		r.end += n
		if n > 0 {
			return nil
		}
		if err == io.EOF {
			if r.end > r.start {
				return io.ErrUnexpectedEOF
			}
			return io.EOF
		}
		if err != nil {
			return err
		}
	}
	return io.ErrNoProgress
}

// parseID reads a decimal number without sign that fits into an int64. An
// empty identifier is 0.
func parseID(text []byte) (int64, bool) {
	var id int64
	for _, c := range text {
		if c < '0' || c > '9' {
			return 0, false
		}
		digit := int64(c - '0')
		if id > (math.MaxInt64-digit)/10 {
			return 0, false
		}
		id = id*10 + digit
	}
	return id, true
}

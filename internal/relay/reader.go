package relay

import (
	"bytes"
	"io"
	"math"
)

const (
	// DefaultMaxEventBytes is the default limit of one event in bytes.
	DefaultMaxEventBytes = 64 << 10
	// initialBufferBytes is enough for several token events. The buffers of 1,000
	// open streams take about 4 MB in total.
	initialBufferBytes = 4 << 10
	// maxEmptyReads is the number of consecutive reads without data or error after
	// which reading fails with io.ErrNoProgress.
	maxEmptyReads = 100
)

var byteOrderMark = []byte("\xef\xbb\xbf")

// Reader reads server-sent events. It reuses one buffer, so that reading an event
// needs no allocation. It is used by one goroutine at a time.
type Reader struct {
	// OnComment, if set, is called by Next with the text of each comment line. The
	// text is valid only during the call.
	OnComment func(text []byte)

	source io.Reader
	limit  int
	buf    []byte
	// These are offsets in buf. start is the start of the current event, pos that
	// of the next line, scanned how far that line has been searched for its end,
	// and end the end of the bytes read.
	start, pos, scanned, end int
	// dataStart and dataEnd are the bounds of the current event's data in buf.
	dataStart, dataEnd  int
	hasData             bool
	id                  int64
	hasReadLine, skipLF bool
	err                 error
}

// NewReader returns a Reader from source that accepts events of at most
// maxEventBytes bytes, including field names and line ends. If maxEventBytes is not
// positive, DefaultMaxEventBytes is used.
func NewReader(source io.Reader, maxEventBytes int) *Reader {
	if maxEventBytes <= 0 {
		maxEventBytes = DefaultMaxEventBytes
	}
	return &Reader{source: source, limit: maxEventBytes, buf: make([]byte, min(initialBufferBytes, maxEventBytes+1))}
}

// Next returns the next event that has a data field; events without one are
// skipped. The data is valid until the next call. At the end of the stream the
// error is io.EOF, or io.ErrUnexpectedEOF if the stream ends within an event.
// Other errors are *SizeError, *FormatError, io.ErrNoProgress or the source's
// error. After an error, all further calls return the same error.
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

// reset starts a new event at the current position.
func (r *Reader) reset() {
	r.start, r.id, r.hasData = r.pos, 0, false
	r.dataStart, r.dataEnd = r.pos, r.pos
}

// line returns the next complete line without its line end. It returns false if the
// buffer has none. Lines end with LF, CRLF or CR. The LF after a CR is skipped at
// the start of the next line, so that a CR at the end of the buffer ends its line
// without waiting for another byte.
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
	lineEnd := bytes.IndexByte(window, '\n')
	if lineEnd >= 0 {
		window = window[:lineEnd]
	}
	if cr := bytes.IndexByte(window, '\r'); cr >= 0 {
		lineEnd = cr
		r.skipLF = true
	}
	if lineEnd < 0 {
		r.scanned = r.end
		return nil, false
	}
	line := r.buf[r.pos : r.scanned+lineEnd]
	r.pos = r.scanned + lineEnd + 1
	r.scanned = r.pos
	if !r.hasReadLine {
		r.hasReadLine = true
		line = bytes.TrimPrefix(line, byteOrderMark)
	}
	return line, true
}

// field processes one non-empty line as a comment or as a field of the current
// event.
func (r *Reader) field(line []byte) error {
	if line[0] == ':' {
		if r.OnComment != nil {
			r.OnComment(bytes.TrimPrefix(line[1:], []byte(" ")))
		}
		if !r.hasData && r.id == 0 {
			// Comments between events do not count towards the size of the next
			// event.
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
			return &FormatError{Reason: "event identifier is not a decimal number in the range of int64"}
		}
		r.id = id
	}
	// Other fields are ignored, as the event stream format requires.
	return nil
}

// appendData adds the value of a data line to the current event. Further lines are
// moved within the buffer to directly follow the previous one. The line end and
// field name between them leave room for the joining '\n'.
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

// fill reads at least one more byte into the buffer, which it compacts or grows as
// needed.
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
		// One byte beyond the limit distinguishes an oversized event from one that
		// just fits.
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

// parseID parses an unsigned decimal number that fits into an int64. An empty
// identifier is 0.
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

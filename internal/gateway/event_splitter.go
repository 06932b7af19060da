package gateway

import "bytes"

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// eventSplitter divides a stream of server-sent events into whole events without
// changing a byte.
type eventSplitter struct {
	pending []byte
	out     []byte
	// last is the identifier of the last whole event that had one.
	last string
	// count is the number of whole events since it was last reset.
	count int
}

// add takes bytes and returns the whole events that are ready. The result holds
// until the next call.
func (s *eventSplitter) add(data []byte) (ready []byte, tooLarge bool) {
	s.pending = append(s.pending, data...)
	end := 0
	for {
		size := eventSize(s.pending[end:])
		if size == 0 {
			break
		}
		if id, ok := eventID(s.pending[end : end+size]); ok {
			s.last = id
		}
		s.count++
		end += size
	}
	s.out = append(s.out[:0], s.pending[:end]...)
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return s.out, len(s.pending) > maxEvent
}

// rest returns the bytes after the last whole event.
func (s *eventSplitter) rest() []byte { return s.pending }

// eventSize returns the size of the first event with the empty line that ends
// it, or 0 when it is not complete.
func eventSize(data []byte) int {
	for at := 0; ; {
		line := bytes.IndexByte(data[at:], '\n')
		if line < 0 {
			return 0
		}
		empty := line == 0 || line == 1 && data[at] == '\r'
		at += line + 1
		if empty {
			return at
		}
	}
}

// eventID returns the identifier of an event.
func eventID(event []byte) (string, bool) {
	for len(event) > 0 {
		line := event
		if at := bytes.IndexByte(event, '\n'); at >= 0 {
			line, event = event[:at], event[at+1:]
		} else {
			event = nil
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

package gateway

import "bytes"

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

// eventSplitter splits a stream of server-sent events into complete events without
// changing a byte.
type eventSplitter struct {
	pending []byte
	out     []byte
	// lastID is the identifier of the last complete event that had one.
	lastID string
	// count is the number of complete events since it was last reset.
	count int
}

// add appends data and returns the events that are now complete. The result is
// valid until the next call. tooLarge reports whether the incomplete event exceeds
// maxEventBytes.
func (s *eventSplitter) add(data []byte) (ready []byte, tooLarge bool) {
	s.pending = append(s.pending, data...)
	end := 0
	for {
		size := eventSize(s.pending[end:])
		if size == 0 {
			break
		}
		if id, ok := eventID(s.pending[end : end+size]); ok {
			s.lastID = id
		}
		s.count++
		end += size
	}
	s.out = append(s.out[:0], s.pending[:end]...)
	s.pending = append(s.pending[:0], s.pending[end:]...)
	return s.out, len(s.pending) > maxEventBytes
}

// remainder returns the bytes after the last complete event.
func (s *eventSplitter) remainder() []byte { return s.pending }

// eventSize returns the size of the first event, including the empty line that
// ends it, or 0 if the event is incomplete.
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

// eventID returns the identifier of an event and whether it has one.
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

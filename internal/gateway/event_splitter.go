package gateway

import (
	"bytes"

	"rattantide/internal/relay"
)

const (
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes = relay.DefaultMaxEventBytes
	// initialEventBytes is the capacity that a splitter starts with and returns to after a
	// large event.
	initialEventBytes = 4 << 10
)

// eventSplitter splits a stream of server-sent events into complete events without
// changing a byte. It searches each byte once.
type eventSplitter struct {
	// pending holds the bytes that were returned by the latest call of add, up to passed,
	// and those that follow. They have been searched for ends of lines up to searched;
	// lineStart is the start of the line there.
	pending                     []byte
	passed, searched, lineStart int
	// lastID is the identifier of the last complete event that had one.
	lastID string
	// count is the number of complete events since it was last reset.
	count int
}

// add appends data and returns the events that are now complete. The result is
// valid until the next call. tooLarge reports whether the incomplete event exceeds
// maxEventBytes.
func (s *eventSplitter) add(data []byte) (ready []byte, tooLarge bool) {
	s.dropPassed()
	s.pending = append(s.pending, data...)
	for {
		length := bytes.IndexByte(s.pending[s.searched:], '\n')
		if length < 0 {
			s.searched = len(s.pending)
			break
		}
		line := s.pending[s.lineStart : s.searched+length]
		s.searched += length + 1
		s.lineStart = s.searched
		if isEmptyLine(line) {
			s.completeEvent(s.pending[s.passed:s.searched])
		}
	}
	return s.pending[:s.passed], len(s.pending)-s.passed > maxEventBytes
}

// completeEvent records an event that is complete.
func (s *eventSplitter) completeEvent(event []byte) {
	if id, ok := eventID(event); ok {
		s.lastID = id
	}
	s.count++
	s.passed += len(event)
}

// dropPassed removes the bytes that the latest call of add returned, and the space of a
// large event.
func (s *eventSplitter) dropPassed() {
	rest := s.pending[s.passed:]
	if cap(s.pending) > 4*initialEventBytes && len(rest) <= initialEventBytes {
		s.pending = append(make([]byte, 0, initialEventBytes), rest...)
	} else {
		s.pending = append(s.pending[:0], rest...)
	}
	s.searched -= s.passed
	s.lineStart -= s.passed
	s.passed = 0
}

// remainder returns the bytes after the last complete event.
func (s *eventSplitter) remainder() []byte { return s.pending[s.passed:] }

// heldBytes returns the size of the memory that the splitter uses.
func (s *eventSplitter) heldBytes() int { return cap(s.pending) }

// isEmptyLine reports whether a line without its line feed is empty.
func isEmptyLine(line []byte) bool { return len(line) == 0 || len(line) == 1 && line[0] == '\r' }

// eventID returns the identifier of the first event in a text and whether it has one.
func eventID(events []byte) (string, bool) {
	for len(events) > 0 {
		line, rest, _ := bytes.Cut(events, []byte("\n"))
		if isEmptyLine(line) {
			return "", false
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value)), true
		}
		events = rest
	}
	return "", false
}

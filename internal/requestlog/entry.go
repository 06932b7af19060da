package requestlog

import (
	"bytes"
	"encoding/json"
	"sort"
	"time"
)

// Entry is one line of a log.
type Entry struct {
	// Source names the file or process that the line came from.
	Source  string
	Time    time.Time
	Level   string
	Message string
	// Request is the identifier of the request that the line is about, or "".
	Request string
	Status  int
	Reason  string
	// Fields holds the other fields by name.
	Fields map[string]json.RawMessage
}

// line is a log line as written; fields that other writers leave out are empty.
type line struct {
	Time    time.Time `json:"time"`
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	Request string    `json:"request"`
	Status  int       `json:"status"`
	Reason  string    `json:"reason"`
}

// known are the fields that Entry holds by themselves.
var known = []string{"time", "level", "msg", "request", "status", "reason"}

// Parse reads a line. What comes before the first brace, such as a process name
// that a collector adds, becomes part of the source. ok is false for a line that
// is not JSON.
func Parse(source string, text []byte) (e Entry, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Entry{}, false
	}
	if prefix := bytes.TrimSpace(text[:start]); len(prefix) > 0 {
		source += " " + string(prefix)
	}
	var l line
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(text[start:], &l) != nil || json.Unmarshal(text[start:], &fields) != nil {
		return Entry{}, false
	}
	for _, name := range known {
		delete(fields, name)
	}
	return Entry{
		Source: source, Time: l.Time, Level: l.Level, Message: l.Message, Request: l.Request,
		Status: l.Status, Reason: l.Reason, Fields: fields,
	}, true
}

// Names returns the names of the other fields in order.
func (e *Entry) Names() []string {
	names := make([]string, 0, len(e.Fields))
	for name := range e.Fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

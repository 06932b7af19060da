package requestlog

import (
	"bytes"
	"encoding/json"
	"sort"
	"time"
)

// Entry is a log line. Fields that the line does not have are zero.
type Entry struct {
	// Source is the name of the file or process that the line is from.
	Source  string
	Time    time.Time
	Level   string
	Message string
	// Request is the ID of the request that the line is about, or "".
	Request string
	Status  int
	Reason  string
	// Fields holds the remaining fields by name.
	Fields map[string]json.RawMessage
}

// line holds the fields of a log line that Entry has as separate fields. Not every
// writer sets them all.
type line struct {
	Time    time.Time `json:"time"`
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	Request string    `json:"request"`
	Status  int       `json:"status"`
	Reason  string    `json:"reason"`
}

// namedFields are the fields that are omitted from Entry.Fields, because Entry has
// them as separate fields.
var namedFields = []string{"time", "level", "msg", "request", "status", "reason"}

// Parse parses a log line. Text before the first brace, for example a process name
// added by a log collector, is appended to the source. ok is false if the line is
// not JSON.
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
	for _, name := range namedFields {
		delete(fields, name)
	}
	return Entry{
		Source: source, Time: l.Time, Level: l.Level, Message: l.Message, Request: l.Request,
		Status: l.Status, Reason: l.Reason, Fields: fields,
	}, true
}

// Names returns the names of e.Fields in alphabetical order.
func (e *Entry) Names() []string {
	names := make([]string, 0, len(e.Fields))
	for name := range e.Fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

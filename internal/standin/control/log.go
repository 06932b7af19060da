package control

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxLogEntries is the maximum number of entries of a log; the oldest entries are
// dropped first.
const maxLogEntries = 100_000

// Entry is one logged call or event. Fields that do not apply are empty.
type Entry struct {
	Seq  int64 `json:"seq"`
	AtMs int64 `json:"atMs"`
	// Event is the type of the event, for example "start", "resume" or "executed".
	Event     string `json:"event"`
	RequestID string `json:"requestId,omitempty"`
	Attempt   string `json:"attempt,omitempty"`
	Method    string `json:"method,omitempty"`
	Path      string `json:"path,omitempty"`
	Key       string `json:"key,omitempty"`
	BodyHash  string `json:"bodyHash,omitempty"`
	Model     string `json:"model,omitempty"`
	Version   string `json:"version,omitempty"`
	Role      string `json:"role,omitempty"`
	Fence     int64  `json:"fence,omitempty"`
	Priority  int    `json:"priority,omitempty"`
	// PromptTokens, CachedTokens and PrefixTokens describe the prompt of a
	// generation; Tokens is the number of tokens of the answer so far.
	PromptTokens int    `json:"promptTokens,omitempty"`
	CachedTokens int    `json:"cachedTokens,omitempty"`
	PrefixTokens int    `json:"prefixTokens,omitempty"`
	Tokens       int    `json:"tokens,omitempty"`
	Detail       string `json:"detail,omitempty"`
}

// Log records the calls and events of a stand-in. It is an http.Handler and safe
// for concurrent use.
type Log struct {
	mu      sync.Mutex
	seq     int64
	entries []Entry
	output  io.Writer
}

// SetOutput makes the log write each further entry to w as a JSON line, so that the
// entries are still available after the process has ended.
func (l *Log) SetOutput(w io.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.output = w
}

// Add appends e with the next sequence number and the current time, and returns
// the number.
func (l *Log) Add(e Entry) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	e.Seq, e.AtMs = l.seq, time.Now().UnixMilli()
	if len(l.entries) >= maxLogEntries {
		l.entries = append(l.entries[:0], l.entries[maxLogEntries/10:]...)
	}
	l.entries = append(l.entries, e)
	if l.output != nil {
		// A write error is ignored: it is detected by the missing entries in the
		// output.
		if line, err := json.Marshal(e); err == nil {
			_, _ = l.output.Write(append(line, '\n'))
		}
	}
	return e.Seq
}

// Entries returns the entries with a sequence number above since.
func (l *Log) Entries(since int64) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []Entry{}
	for _, e := range l.entries {
		if e.Seq > since {
			out = append(out, e)
		}
	}
	return out
}

// ServeHTTP responds with the entries after the sequence number in the query
// parameter since. If the query parameter event is set, only entries with this event
// are included.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	entries := l.Entries(since)
	if event := r.URL.Query().Get("event"); event != "" {
		matching := []Entry{}
		for _, e := range entries {
			if e.Event == event {
				matching = append(matching, e)
			}
		}
		entries = matching
	}
	WriteJSON(w, http.StatusOK, map[string]any{"entries": entries})
}

package control

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxLogEntries bounds a log; the oldest entries are dropped first.
const maxLogEntries = 100_000

// Entry is one logged call. Fields that do not apply are empty.
type Entry struct {
	Seq  int64 `json:"seq"`
	AtMs int64 `json:"atMs"`
	// Event tells what happened, for example "start", "resume" or "executed".
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
	// generation; Tokens is how far the answer has come.
	PromptTokens int    `json:"promptTokens,omitempty"`
	CachedTokens int    `json:"cachedTokens,omitempty"`
	PrefixTokens int    `json:"prefixTokens,omitempty"`
	Tokens       int    `json:"tokens,omitempty"`
	Detail       string `json:"detail,omitempty"`
}

// Log is the list of what a stand-in executed. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	seq     int64
	entries []Entry
	output  io.Writer
}

// SetOutput writes each further entry to w as a JSON line, so that the log
// outlives the process.
func (l *Log) SetOutput(w io.Writer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.output = w
}

// Add appends e with the next number and the current time and returns the
// number.
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
		// A log that cannot be written shows as missing entries in its file.
		if line, err := json.Marshal(e); err == nil {
			_, _ = l.output.Write(append(line, '\n'))
		}
	}
	return e.Seq
}

// Entries returns the entries after the number since.
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

// ServeHTTP lists the entries after the query parameter since, of the query
// parameter event when it is given.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	entries := l.Entries(since)
	if event := r.URL.Query().Get("event"); event != "" {
		kept := []Entry{}
		for _, e := range entries {
			if e.Event == event {
				kept = append(kept, e)
			}
		}
		entries = kept
	}
	JSON(w, http.StatusOK, map[string]any{"entries": entries})
}

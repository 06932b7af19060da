package requestlog

import (
	"net/http"
	"sort"
)

// Cause is a status and a reason that the entries of unserved requests have in common.
type Cause struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	// Count is the number of requests with this status and reason.
	Count int `json:"count"`
	// Example is the ID of the first such request.
	Example string `json:"example"`
}

// Summary counts the requests that ended and, for each cause, those that were not
// served. The zero value is ready to use. A Summary is not safe for concurrent use.
type Summary struct {
	requests int
	causes   map[causeKey]*Cause
}

type causeKey struct {
	status int
	reason string
}

// Add counts the request of an entry that has a request ID and a status, and
// ignores other entries.
func (s *Summary) Add(e Entry) {
	if e.Request == "" || e.Status == 0 {
		return
	}
	s.requests++
	if e.Status < http.StatusBadRequest {
		return
	}
	if s.causes == nil {
		s.causes = map[causeKey]*Cause{}
	}
	key := causeKey{e.Status, e.Reason}
	c := s.causes[key]
	if c == nil {
		c = &Cause{Status: e.Status, Reason: e.Reason, Example: e.Request}
		s.causes[key] = c
	}
	c.Count++
}

// Requests returns the number of requests that were counted.
func (s *Summary) Requests() int { return s.requests }

// Causes returns the causes, the most frequent ones first.
func (s *Summary) Causes() []Cause {
	out := make([]Cause, 0, len(s.causes))
	for _, c := range s.causes {
		out = append(out, *c)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Count != out[j].Count {
			return out[i].Count > out[j].Count
		}
		return out[i].Reason < out[j].Reason
	})
	return out
}

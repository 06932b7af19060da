package server

import "time"

// Observer receives every accepted request at its end, for service-level
// recording. Ended must be safe for concurrent use and must not block.
type Observer interface {
	Ended(Ended)
}

// Ended is an accepted request at its end. It holds no content.
type Ended struct {
	RequestID string
	Workspace string
	Class     string
	Route     string
	// Version, Domain and Upstream are those of the last attempt; empty for a
	// request that was never dispatched.
	Version  string
	Domain   string
	Upstream string
	// OK says that the request was answered in full.
	OK bool
	// Shed says that the request was refused because of load and did not run.
	Shed bool
	// FirstToken is the time from acceptance to the first token; 0 when none
	// came or the call has no tokens.
	FirstToken time.Duration
	// BetweenTokens is the mean time between two tokens; 0 for fewer than two.
	BetweenTokens time.Duration
	// Total is the time from acceptance to the end of the answer.
	Total time.Duration
}

// ended passes e to the observer, if there is one.
func (s *Server) ended(e Ended) {
	if s.options.Observer != nil {
		s.options.Observer.Ended(e)
	}
}

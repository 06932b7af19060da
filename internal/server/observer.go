package server

import "time"

// Observer receives a summary of every accepted request when it ends, from which
// service levels are computed. Requests that were refused because of what the caller
// sent, or whose answer was too large to be stored, are not reported. RequestEnded must
// be safe for concurrent use and must not block.
type Observer interface {
	RequestEnded(EndedRequest)
}

// EndedRequest is the summary of an accepted request that has ended. It holds no
// content of the request or its answer.
type EndedRequest struct {
	RequestID string
	Workspace string
	Class     string
	Route     string
	// Version, Domain and Upstream describe the upstream of the last attempt. They
	// are empty for a request that was never dispatched, and for a call that no
	// plain service answered.
	Version  string
	Domain   string
	Upstream string
	// OK is true when the request was answered in full, and not by a plain service
	// with a 5xx status.
	OK bool
	// Shed is true when the request was refused because of load and did not run.
	Shed bool
	// FirstToken is the time from acceptance to the first token. It is 0 when no
	// token arrived or the call is not a chat completion.
	FirstToken time.Duration
	// BetweenTokens is the mean time between consecutive tokens, or 0 for fewer
	// than two tokens.
	BetweenTokens time.Duration
	// Total is the time from acceptance to the end of the answer.
	Total time.Duration
}

// notifyObserver passes e to the observer, if there is one.
func (s *Server) notifyObserver(e EndedRequest) {
	if s.options.Observer != nil {
		s.options.Observer.RequestEnded(e)
	}
}

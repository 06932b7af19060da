package routeexplain

import "rattantide/internal/routing"

// Explanation is what would happen to a request at this moment. Ages are in milliseconds and -1 if
// the input is unknown.
type Explanation struct {
	Daemon    string `json:"daemon"`
	Route     string `json:"route"`
	Service   string `json:"service"`
	Workspace string `json:"workspace,omitempty"`
	// ConfigVersion and ConfigAgeMs are those of the configuration in effect.
	ConfigVersion int64 `json:"configVersion"`
	ConfigAgeMs   int64 `json:"configAgeMs"`
	// Versions are the versions that may serve the request, the preferred one first.
	Versions   []string    `json:"versions,omitempty"`
	Admission  Admission   `json:"admission"`
	Candidates []Candidate `json:"candidates"`
	// Choice is the name of the chosen upstream; empty if no upstream is usable.
	Choice string `json:"choice,omitempty"`
}

// Admission is what the daemon's admission would do.
type Admission struct {
	Rule     string `json:"rule"`
	WaitMs   int64  `json:"waitMs"`
	InFlight int    `json:"inFlight"`
	Limit    int    `json:"limit"`
	Waiting  int    `json:"waiting"`
}

// Candidate is an upstream with its score in seconds. The lowest score is the best.
type Candidate struct {
	Upstream string              `json:"upstream"`
	Version  string              `json:"version,omitempty"`
	Score    float64             `json:"score"`
	Parts    []routing.ScorePart `json:"parts"`
	// LoadAgeMs is the age of the upstream's last load report to this daemon, StateAgeMs that
	// of the state that is shared between daemons.
	LoadAgeMs  int64 `json:"loadAgeMs"`
	StateAgeMs int64 `json:"stateAgeMs"`
	// Running, Waiting, BacklogTokens and CachedTokens are the estimates for the upstream, and
	// Slots is 0 if it is unknown.
	Running       float64 `json:"running"`
	Waiting       float64 `json:"waiting"`
	Slots         int     `json:"slots"`
	BacklogTokens float64 `json:"backlogTokens"`
	CachedTokens  float64 `json:"cachedTokens"`
	// Gathers reports whether long prompts gather at the upstream.
	Gathers bool `json:"gathers,omitempty"`
}

package api

// VersionMove is a declared move of a pool from one version to another, which
// the system finishes or takes back by its deadline.
type VersionMove struct {
	Pool string `json:"pool"`
	From string `json:"from"`
	To   string `json:"to"`
	// Deadline is counted from the declaration, in the store's time.
	Deadline Duration `json:"deadline"`
}

// MovePhase is the phase of a VersionMove.
type MovePhase string

// The phases of a move.
const (
	MoveRunning MovePhase = "running"
	MoveDone    MovePhase = "done"
	MoveUndone  MovePhase = "undone"
)

// Ended reports whether the phase is final.
func (p MovePhase) Ended() bool { return p == MoveDone || p == MoveUndone }

// MoveStatus is the progress of a VersionMove. Only the system writes it.
type MoveStatus struct {
	Phase MovePhase `json:"phase"`
	// ByMs is the deadline in the store's time, in Unix milliseconds.
	ByMs int64 `json:"byMs"`
	// DeclaredMs is the declaration in the store's time, in Unix milliseconds.
	DeclaredMs int64 `json:"declaredMs"`
	// Share is the share of traffic that the new version may get, 0 to 1.
	Share float64 `json:"share"`
	// ShareSinceMs is when Share was last changed, in the store's time.
	ShareSinceMs int64 `json:"shareSinceMs,omitempty"`
	// Verdict is "good" or "bad" once it is known.
	Verdict string `json:"verdict,omitempty"`
	// Reason tells the operator why the move is where it is.
	Reason string `json:"reason,omitempty"`
	// Evidence sums up what was seen of both versions.
	Evidence []MoveEvidence `json:"evidence,omitempty"`
	// EndedMs is when the move was done or undone, in the store's time.
	EndedMs int64 `json:"endedMs,omitempty"`
	// Fence is the fencing token of the lease holder that wrote the status.
	Fence int64 `json:"fence,omitempty"`
}

// MoveEvidence is what was seen of one version on one route in one load band.
type MoveEvidence struct {
	Version  string  `json:"version"`
	Route    string  `json:"route"`
	LoadBand string  `json:"loadBand"`
	Requests int64   `json:"requests"`
	Errors   int64   `json:"errors"`
	P95Ms    float64 `json:"p95Ms"`
}

// The verdicts of a move.
const (
	VerdictGood = "good"
	VerdictBad  = "bad"
)

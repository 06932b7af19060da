package api

// VersionMove is the spec of a rollout that moves a pool from one version to
// another. The system completes it or rolls it back by its deadline.
type VersionMove struct {
	Pool string `json:"pool"`
	From string `json:"from"`
	To   string `json:"to"`
	// Deadline is the time limit of the move, 1s to 24h, measured from its
	// declaration by the object API's clock.
	Deadline Duration `json:"deadline"`
}

// MovePhase is the phase of a VersionMove.
type MovePhase string

// The phases of a move: running, completed, or rolled back.
const (
	MoveRunning MovePhase = "running"
	MoveDone    MovePhase = "done"
	MoveUndone  MovePhase = "undone"
)

// HasEnded reports whether the phase is final.
func (p MovePhase) HasEnded() bool { return p == MoveDone || p == MoveUndone }

// MoveStatus is the progress of a VersionMove. Only the system writes it. All
// times are Unix milliseconds of the object API's clock.
type MoveStatus struct {
	Phase MovePhase `json:"phase"`
	// DeadlineMs is the time by which the move must be completed or rolled back.
	DeadlineMs int64 `json:"byMs"`
	// DeclaredMs is the time at which the move was declared.
	DeclaredMs int64 `json:"declaredMs"`
	// Share is the largest share of traffic that the new version may receive,
	// 0 to 1.
	Share float64 `json:"share"`
	// ShareSinceMs is the time at which Share was last changed.
	ShareSinceMs int64 `json:"shareSinceMs,omitempty"`
	// Verdict is VerdictGood or VerdictBad, or empty if none was reached yet.
	Verdict string `json:"verdict,omitempty"`
	// Reason explains the current phase and share to operators.
	Reason string `json:"reason,omitempty"`
	// Evidence summarizes the observations of both versions.
	Evidence []MoveEvidence `json:"evidence,omitempty"`
	// EndedMs is the time at which the move was completed or rolled back.
	EndedMs int64 `json:"endedMs,omitempty"`
	// Fence is the fencing token of the lease holder that wrote the status.
	Fence int64 `json:"fence,omitempty"`
}

// MoveEvidence summarizes the requests that one version served on one route in
// one load band.
type MoveEvidence struct {
	Version  string  `json:"version"`
	Route    string  `json:"route"`
	LoadBand string  `json:"loadBand"`
	Requests int64   `json:"requests"`
	Errors   int64   `json:"errors"`
	P95Ms    float64 `json:"p95Ms"`
}

// The verdicts on the new version of a move.
const (
	VerdictGood = "good"
	VerdictBad  = "bad"
)

package rollout

// Report is a daemon's evidence on a move, as peers collect it.
type Report struct {
	Daemon     string `json:"daemon"`
	Move       string `json:"move"`
	DeclaredMs int64  `json:"declaredMs"`
	// Since is the first slot that Rows cover.
	Since   int64    `json:"since"`
	Rows    []Row    `json:"rows"`
	Verdict *Verdict `json:"verdict,omitempty"`
}

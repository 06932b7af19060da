package rollout

// Verdict is the finding of one daemon that the new version of a move is bad.
// It stands until the move ends.
type Verdict struct {
	Move string `json:"move"`
	// DeclaredMs tells two moves of the same name apart.
	DeclaredMs int64  `json:"declaredMs"`
	Reason     string `json:"reason"`
	// Daemon found it.
	Daemon string `json:"daemon"`
	// AtMs is when, in the store's time.
	AtMs int64 `json:"atMs"`
}

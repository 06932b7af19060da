package rollout

// Verdict is the finding of one daemon that the new version of a move is bad. It
// is valid until the move ends.
type Verdict struct {
	Move string `json:"move"`
	// DeclaredMs is when the move was declared; it distinguishes moves of the
	// same name.
	DeclaredMs int64  `json:"declaredMs"`
	Reason     string `json:"reason"`
	// Daemon is the daemon that found it.
	Daemon string `json:"daemon"`
	// AtMs is when it was found, in Unix milliseconds of the store's time.
	AtMs int64 `json:"atMs"`
}

package server

// mode is how an attempt continues what is already known of an answer.
type mode int

const (
	// modeStart asks for the answer from its first token.
	modeStart mode = iota
	// modeResume asks the same engine for the events after the last one.
	modeResume
	// modePrefix gives the received text to the engine as the start of the
	// answer.
	modePrefix
	// modeRegenerate asks for the whole answer again with the pinned seed. The
	// events already held are compared and skipped.
	modeRegenerate
)

// String returns the mode's name in metrics and logs.
func (m mode) String() string {
	return [...]string{"start", "resume", "prefix", "regenerate"}[m]
}

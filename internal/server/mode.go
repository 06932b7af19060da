package server

// attemptMode determines how an attempt continues the events already recorded.
type attemptMode int

const (
	// modeStart requests the answer from its first token.
	modeStart attemptMode = iota
	// modeResume requests the events after the last recorded one from an engine
	// that has the generation.
	modeResume
	// modePrefix sends the recorded text to the engine as the start of the
	// answer to continue.
	modePrefix
	// modeRegenerate requests the whole answer again with the pinned seed. Events
	// that are already recorded are compared and skipped.
	modeRegenerate
)

// String returns the mode's name in metrics and logs.
func (m attemptMode) String() string {
	return [...]string{"start", "resume", "prefix", "regenerate"}[m]
}

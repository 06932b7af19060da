package intent

// Grant is the answer to an attempt to begin a call.
type Grant struct {
	// Granted says that the intent is committed under the caller's nonce and
	// that this caller, and no other, may dispatch the call once.
	Granted bool `json:"granted"`
	// Outcome is what is recorded of an earlier call with this key when
	// Granted is false.
	Outcome Outcome `json:"outcome"`
}

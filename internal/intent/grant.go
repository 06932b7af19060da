package intent

// Grant is the result of an attempt to begin a call.
type Grant struct {
	// Granted reports that the intent is committed under the caller's nonce and
	// that only this caller may dispatch the call, once.
	Granted bool `json:"granted"`
	// Outcome is the recorded outcome of an earlier call with this key. It is
	// set when Granted is false.
	Outcome Outcome `json:"outcome"`
}

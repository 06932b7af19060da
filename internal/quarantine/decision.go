package quarantine

// Decision states whether a request may be sent to an upstream.
type Decision int

// The decisions.
const (
	// Allow means that nothing is known against the request.
	Allow Decision = iota
	// RefuseForNow means that a part is suspected, which other requests may still disprove.
	RefuseForNow
	// Refuse means that a part crashes upstreams.
	Refuse
)

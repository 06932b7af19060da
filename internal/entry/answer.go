package entry

// Answer is the body of the answer to GET /v1/entries.
type Answer struct {
	// Entries are in the order in which the caller should try them.
	Entries []Entry `json:"entries"`
	// TTLMs is how long the answer may be cached, in milliseconds.
	TTLMs int64 `json:"ttlMs"`
	// Version is a hash of the entries' addresses in their order. Versions can be
	// compared for equality only.
	Version string `json:"version"`
}

package entry

// Answer is what callers get from GET /v1/entries.
type Answer struct {
	// Entries are in the order in which the caller should try them.
	Entries []Entry `json:"entries"`
	// TTLMs is how long the answer may be kept, in milliseconds.
	TTLMs int64 `json:"ttlMs"`
	// Version changes when the entries do. It is a hash and has no order.
	Version string `json:"version"`
}

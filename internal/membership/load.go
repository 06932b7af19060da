package membership

import "time"

// Load is a load report of an upstream. It lags behind the actual load.
type Load struct {
	// Running and Waiting are numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Slots is the number of requests that the upstream processes at the same time; 0 if it
	// is not known.
	Slots int `json:"slots,omitempty"`
	// Pace is how long work takes at the upstream at this moment, relative to its usual
	// duration: 2 means twice as long. 0 means that it is not known.
	Pace float64 `json:"pace,omitempty"`
	// Speed is the lasting speed of the upstream relative to its pool, as the daemons learned
	// it together: 2 means that work takes half as long. 0 means that it is not known.
	Speed float64 `json:"-"`
	// KVUsedTokens and KVTotalTokens are the used part and the size of the key-value
	// cache in tokens.
	KVUsedTokens  int64 `json:"kvUsedTokens"`
	KVTotalTokens int64 `json:"kvTotalTokens"`
	// Version is the version that the upstream serves; it may be empty.
	Version string `json:"version"`
	// Draining is set if the upstream accepts no new work.
	Draining bool `json:"draining"`
	// Seq increases with each report; a restarted upstream starts from the beginning.
	Seq int64 `json:"seq"`
	// AgeMs is the age of the report when the upstream sent it, in milliseconds.
	AgeMs int64 `json:"ageMs"`
	// ReceivedAt is when this daemon received the report.
	ReceivedAt time.Time `json:"-"`
}

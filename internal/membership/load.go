package membership

import "time"

// Load is a load report of an upstream. It lags behind the actual load.
type Load struct {
	// Running and Waiting are numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
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

package membership

import "time"

// Load is a load report of an upstream. It lags behind the truth.
type Load struct {
	Running       int    `json:"running"`
	Waiting       int    `json:"waiting"`
	KVUsedTokens  int64  `json:"kvUsedTokens"`
	KVTotalTokens int64  `json:"kvTotalTokens"`
	Version       string `json:"version"`
	Draining      bool   `json:"draining"`
	Seq           int64  `json:"seq"`
	// AgeMs is how old the report was, in milliseconds, when it was answered.
	AgeMs int64 `json:"ageMs"`
	// ReceivedAt is this daemon's time of receipt.
	ReceivedAt time.Time `json:"-"`
}

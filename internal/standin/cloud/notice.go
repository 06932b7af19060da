package cloud

import "time"

// The kinds of notices.
const (
	Reclaim = "reclaim"
	Cancel  = "cancel"
)

// Notice names an instance or a whole failure domain that is reclaimed, or
// takes such a notice back.
type Notice struct {
	Seq      int64  `json:"seq"`
	Instance string `json:"instance,omitempty"`
	Domain   string `json:"domain,omitempty"`
	// DeadlineMs is the time that remains, in milliseconds.
	DeadlineMs int64  `json:"deadlineMs"`
	Kind       string `json:"kind"`

	deadline time.Time
}

// Faults are the switchable faults of the API.
type Faults struct {
	// RefuseStarts counts down the starts that are refused; -1 refuses all.
	RefuseStarts int `json:"refuseStarts"`
	// Outage answers all calls with 503.
	Outage bool `json:"outage"`
	// NoticeDelayMs holds notices back.
	NoticeDelayMs int64 `json:"noticeDelayMs"`
}

package cloud

import "time"

// The values of Notice.Kind.
const (
	KindReclaim = "reclaim"
	KindCancel  = "cancel"
)

// Notice announces that an instance or a whole failure domain is reclaimed, or
// cancels such an announcement.
type Notice struct {
	Seq      int64  `json:"seq"`
	Instance string `json:"instance,omitempty"`
	Domain   string `json:"domain,omitempty"`
	// DeadlineMs is the remaining time until the reclaim, in milliseconds. The server
	// computes it anew for each response.
	DeadlineMs int64  `json:"deadlineMs"`
	Kind       string `json:"kind"`

	deadline time.Time
}

// Faults are the injected faults of the API.
type Faults struct {
	// RefuseStarts is the number of further starts that are refused. Each refusal
	// decrements it; -1 refuses all starts.
	RefuseStarts int `json:"refuseStarts"`
	// Outage makes all calls fail with status 503.
	Outage bool `json:"outage"`
	// NoticeDelayMs is the time after which a notice becomes visible to clients, in
	// milliseconds.
	NoticeDelayMs int64 `json:"noticeDelayMs"`
}

package membership

// Notice is a reclaim notice of the cloud API, or its cancellation. It applies to
// one instance if Instance is set, and otherwise to the whole failure domain Domain.
type Notice struct {
	// Seq orders the notices: for each instance, the one with the highest number
	// applies.
	Seq      int64  `json:"seq"`
	Instance string `json:"instance,omitempty"`
	Domain   string `json:"domain,omitempty"`
	// DeadlineMs is the time until the reclaim when the cloud API responded, in
	// milliseconds.
	DeadlineMs int64      `json:"deadlineMs"`
	Kind       NoticeKind `json:"kind"`
}

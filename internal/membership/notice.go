package membership

// Notice is a reclaim notice of the cloud API, or its cancellation. It applies to
// one instance or to a whole failure domain.
type Notice struct {
	Seq      int64  `json:"seq"`
	Instance string `json:"instance,omitempty"`
	Domain   string `json:"domain,omitempty"`
	// DeadlineMs is the time until the reclaim when the cloud API responded, in
	// milliseconds.
	DeadlineMs int64      `json:"deadlineMs"`
	Kind       NoticeKind `json:"kind"`
}

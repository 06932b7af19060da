package membership

// Notice is a reclaim notice of the cloud API, or its cancellation. It names
// one instance or a whole failure domain.
type Notice struct {
	Seq      int64  `json:"seq"`
	Instance string `json:"instance,omitempty"`
	Domain   string `json:"domain,omitempty"`
	// DeadlineMs is the time left at the moment of the answer.
	DeadlineMs int64      `json:"deadlineMs"`
	Kind       NoticeKind `json:"kind"`
}

package membership

// InstanceState is all that is known of one incarnation, less loads and
// evidence, which stay with the daemon that saw them.
type InstanceState struct {
	Instance
	// Listed says that the list names the instance.
	Listed bool `json:"listed,omitempty"`
	// Generation is the latest process that announced itself under this name
	// and address, and Announced says that it announced that it is leaving.
	Generation int64 `json:"generation,omitempty"`
	Announced  bool  `json:"announced,omitempty"`
	// NoticeSeq is the latest reclaim notice for the instance, 0 for none, and
	// Noticed whether it was a reclaim rather than a cancellation.
	NoticeSeq int64 `json:"noticeSeq,omitempty"`
	Noticed   bool  `json:"noticed,omitempty"`
	// LeavingInMs is the time left; 0 when it is not known.
	LeavingInMs int64 `json:"leavingInMs,omitempty"`
	// Removed says that the instance was absent from the list for the grace
	// period.
	Removed bool `json:"removed,omitempty"`
}

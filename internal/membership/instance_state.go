package membership

// InstanceState is the exported state of one incarnation. Load reports and
// evidence from calls are not exported.
type InstanceState struct {
	Instance
	// Listed is set if the instance list contains the instance.
	Listed bool `json:"listed,omitempty"`
	// Generation identifies the latest process that made an announcement under
	// this name and address. AnnouncedLeaving is set if that process announced that
	// it is leaving.
	Generation       int64 `json:"generation,omitempty"`
	AnnouncedLeaving bool  `json:"announced,omitempty"`
	// NoticeSeq is the sequence number of the latest notice for the instance, or
	// 0 for none. UnderReclaim is set if that notice was a reclaim rather than a
	// cancellation.
	NoticeSeq    int64 `json:"noticeSeq,omitempty"`
	UnderReclaim bool  `json:"noticed,omitempty"`
	// LeavingInMs is the time until the instance stops, in milliseconds; 0 if it
	// is not known.
	LeavingInMs int64 `json:"leavingInMs,omitempty"`
	// Removed is set if the instance was absent from the list for the grace
	// period.
	Removed bool `json:"removed,omitempty"`
}

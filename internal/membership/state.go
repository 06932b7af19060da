package membership

// State is what a relay passes on: the whole of its Table, or what changed in
// it since a point that the receiver names.
type State struct {
	// Epoch identifies the Table that Seq belongs to.
	Epoch string `json:"epoch"`
	// Seq is the point in the Table's history up to which this State reaches.
	Seq int64 `json:"seq"`
	// Full says that instances which are not named are not listed.
	Full bool `json:"full,omitempty"`
	// ListRevision is the revision of the instance list that was applied last.
	ListRevision int64           `json:"listRevision"`
	Instances    []InstanceState `json:"instances,omitempty"`
	Domains      []DomainState   `json:"domains,omitempty"`
}

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

// DomainState is the latest reclaim notice of a failure domain.
type DomainState struct {
	Domain      string `json:"domain"`
	NoticeSeq   int64  `json:"noticeSeq"`
	Noticed     bool   `json:"noticed,omitempty"`
	LeavingInMs int64  `json:"leavingInMs,omitempty"`
}

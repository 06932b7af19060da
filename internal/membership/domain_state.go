package membership

// DomainState is the exported state of the latest notice for a failure domain.
type DomainState struct {
	Domain       string `json:"domain"`
	NoticeSeq    int64  `json:"noticeSeq"`
	UnderReclaim bool   `json:"noticed,omitempty"`
	// LeavingInMs is the time until the deadline of the notice, in milliseconds.
	LeavingInMs int64 `json:"leavingInMs,omitempty"`
}

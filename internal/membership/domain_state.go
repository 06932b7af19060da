package membership

// DomainState is the latest reclaim notice of a failure domain.
type DomainState struct {
	Domain      string `json:"domain"`
	NoticeSeq   int64  `json:"noticeSeq"`
	Noticed     bool   `json:"noticed,omitempty"`
	LeavingInMs int64  `json:"leavingInMs,omitempty"`
}

package membership

// DomainState is the exported state of the latest notice for a failure domain.
type DomainState struct {
	Domain       string `json:"domain"`
	NoticeSeq    int64  `json:"noticeSeq"`
	UnderReclaim bool   `json:"noticed,omitempty"`
	LeavingInMs  int64  `json:"leavingInMs,omitempty"`
}

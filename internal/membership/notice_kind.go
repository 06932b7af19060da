package membership

// NoticeKind tells what a Notice announces.
type NoticeKind string

// The kinds of notices.
const (
	NoticeReclaim NoticeKind = "reclaim"
	NoticeCancel  NoticeKind = "cancel"
)

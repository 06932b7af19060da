package membership

// NoticeKind distinguishes reclaims from cancellations.
type NoticeKind string

// The kinds of notices.
const (
	NoticeReclaim NoticeKind = "reclaim"
	NoticeCancel  NoticeKind = "cancel"
)

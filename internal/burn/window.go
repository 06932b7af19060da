package burn

import "time"

// Window is a time window over which burn is reported.
type Window struct {
	Name string
	// Span is the length of the window. It is divided into Buckets, of which the
	// oldest is dropped as a whole; the window thus covers between Span minus one
	// bucket and Span.
	Span    time.Duration
	Buckets int
}

// Windows are the windows of multi-window burn alerts, in ascending order: a
// short one, so that an alert ends soon after its cause, and longer ones, so that
// a brief spike raises no alert.
var Windows = [...]Window{
	{Name: "5m", Span: 5 * time.Minute, Buckets: 5},
	{Name: "1h", Span: time.Hour, Buckets: 6},
	{Name: "6h", Span: 6 * time.Hour, Buckets: 6},
	{Name: "3d", Span: 72 * time.Hour, Buckets: 6},
}

func (w Window) bucketWidth() time.Duration { return w.Span / time.Duration(w.Buckets) }

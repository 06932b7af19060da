package burn

import "time"

// Window is a span of time over which burn is reported.
type Window struct {
	Name string
	// Span is divided into Buckets; the oldest is dropped as a whole, so that a
	// window covers between Span minus one bucket and Span.
	Span    time.Duration
	Buckets int
}

// Windows are the spans of multi-window burn alerts: a short one that ends the
// alert soon after the cause, and longer ones that keep a blip from raising it.
var Windows = [...]Window{
	{Name: "5m", Span: 5 * time.Minute, Buckets: 5},
	{Name: "1h", Span: time.Hour, Buckets: 6},
	{Name: "6h", Span: 6 * time.Hour, Buckets: 6},
	{Name: "3d", Span: 72 * time.Hour, Buckets: 6},
}

func (w Window) width() time.Duration { return w.Span / time.Duration(w.Buckets) }

package burn

// Percentiles contains the percentiles of a measure in a window, in milliseconds.
type Percentiles struct {
	Window string  `json:"window"`
	Count  int64   `json:"count"`
	P50Ms  float64 `json:"p50Ms"`
	P95Ms  float64 `json:"p95Ms"`
	P99Ms  float64 `json:"p99Ms"`
	MaxMs  float64 `json:"maxMs"`
}

package routing

// SlownessSample is the ratio of the time to the first answer of one attempt to the time that
// is usual in the pool at the load and the pace that the upstream reported.
type SlownessSample struct {
	Upstream   string
	Address    string
	Generation int64
	Ratio      float64
}

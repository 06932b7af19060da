package routing

// SlownessSample is the ratio of the time to the first answer of one attempt to the time that
// is usual in the pool for what the upstream told of its load and its pace.
type SlownessSample struct {
	Upstream   string
	Address    string
	Generation int64
	Ratio      float64
}

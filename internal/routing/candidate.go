package routing

// Candidate is an upstream as a policy sees it.
type Candidate struct {
	Name string
	// NameHash is the xxhash of Name.
	NameHash uint64
	// PricePerHour is in the currency of the instance list.
	PricePerHour float64
	// ReportedLoad is running plus waiting of the latest load report, however
	// old; 0 before the first.
	ReportedLoad int
	// InFlight counts this daemon's own open attempts.
	InFlight int
	// Running estimates the requests in the upstream's batch now.
	Running float64
	// BacklogTokens estimates the prompt tokens that wait before this request.
	BacklogTokens float64
	// TokensPerSecond is the prompt processing rate learned for the pool.
	TokensPerSecond float64
	// Slowness is the observed time to first token over the expected one.
	Slowness float64
	// CachedTokens is how much of the prompt is believed to be cached.
	CachedTokens float64
	// FailureShare is the share of recent attempts that the upstream failed.
	FailureShare float64
	// KVShare is the used share of the cache memory as last reported.
	KVShare float64
	// ReclaimsPerSecond estimates how likely the upstream is to be reclaimed.
	ReclaimsPerSecond float64
}

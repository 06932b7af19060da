package routing

import "time"

// Candidate is the state of an upstream that a policy decides on.
type Candidate struct {
	Name string
	// NameHash is the xxhash of Name.
	NameHash uint64
	// PricePerHour is in the currency of the instance list.
	PricePerHour float64
	// ReportedLoad is the number of running plus waiting requests in the latest
	// load report, regardless of its age; 0 before the first.
	ReportedLoad int
	// InFlight is the number of open attempts of this daemon.
	InFlight int
	// Running is the estimated number of requests in the upstream's batch.
	Running float64
	// BacklogTokens is the estimated number of prompt tokens that are processed
	// before this request.
	BacklogTokens float64
	// TokensPerSecond is the estimated prompt processing rate of the pool.
	TokensPerSecond float64
	// Slowness is the ratio of the observed time to first token to the expected
	// one.
	Slowness float64
	// CachedTokens is the estimated number of prompt tokens in the upstream's
	// cache.
	CachedTokens float64
	// FailureShare is the share of recent attempts that failed at the upstream.
	FailureShare float64
	// KVShare is the used share of the cache memory as last reported.
	KVShare float64
	// ReclaimsPerSecond is the estimated rate at which the upstream is
	// reclaimed.
	ReclaimsPerSecond float64
	// Slots is the number of requests that the upstream processes at the same time; 0 if it
	// is not known.
	Slots int
	// Waiting is the estimated number of requests that wait for a slot.
	Waiting float64
	// Pace is the estimate of how long work takes at the upstream at this moment, relative to
	// its usual duration; 0 if it is not known. The reported pace is discounted by its age.
	Pace float64
	// Speed is the lasting speed of the upstream relative to its pool: 2 means that work takes
	// half as long. 0 if it is not known.
	Speed float64
	// StateAge is the age of Waiting, Pace and Running as reported by the upstream. It is
	// undefined while Slots is 0.
	StateAge time.Duration
	// WaitSeconds is the expected time to the first answer at the usual pace and speed that
	// does not depend on the prompt: until a slot is free and, for a plain service, the
	// service time. It is 0 while Slots is 0.
	WaitSeconds float64
	// AddedSeconds is the growth of the expected time to the first answer with each further
	// request at the upstream, and Unreported the expected number of requests of all daemons
	// that arrive there before a report includes them. Both are 0 while Slots is 0.
	AddedSeconds float64
	Unreported   float64
	// OwnUnreported is the number of this daemon's open attempts that the report does not
	// include.
	OwnUnreported int
}

// promptRate returns the estimated prompt processing rate in tokens per second.
func (c *Candidate) promptRate() float64 {
	if c.TokensPerSecond <= 0 {
		return DefaultTokensPerSecond
	}
	return c.TokensPerSecond
}

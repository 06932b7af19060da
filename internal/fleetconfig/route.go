package fleetconfig

import "time"

// CallKind states whether a route's calls may be repeated, and how they are
// answered.
type CallKind int

// The kinds of calls.
const (
	// Idempotent calls may run more than once.
	Idempotent CallKind = iota
	// NonIdempotent calls run at most once per attempt of the caller.
	NonIdempotent
	// Stream calls are answered by a stream of numbered events. They run at most
	// once unless the route is resumable.
	Stream
)

// WeightedService is one of the services among which a route's calls are divided.
type WeightedService struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight float64
}

// Route assigns the calls below a path of a host to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       CallKind
	// Resumable is set if a stream may continue at another upstream after its last
	// delivered event.
	Resumable bool
	// Timeout is the maximum duration of a call from its arrival; 0 means no limit.
	Timeout time.Duration
	// Target is the latency objective: the time to the response, or to a stream's
	// first event, within which a call is on time.
	Target time.Duration
	// GapTarget is the longest time between two events of a stream that is on time.
	GapTarget time.Duration
	// Urgency orders calls under load; 0 is the most urgent.
	Urgency int
	// MaxAttempts is the maximum number of upstreams to which one call is sent.
	MaxAttempts int
	// Public is set if callers need no API key.
	Public   bool
	Services []WeightedService
}

// Repeatable reports whether a call that may already have run can be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// ServiceFor returns the service for a call. The share selects it according to the
// weights; it must be in [0, 1) and the same for all attempts of the call. The
// result is empty for a route without services.
func (r *Route) ServiceFor(share float64) string {
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	share *= total
	for _, s := range r.Services {
		if share < s.Weight {
			return s.Service
		}
		share -= s.Weight
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[len(r.Services)-1].Service
}

package fleetconfig

import "time"

// CallKind tells what may be repeated of a route's calls.
type CallKind int

// The kinds of calls.
const (
	// Idempotent calls may run more than once.
	Idempotent CallKind = iota
	// NonIdempotent calls run at most once per attempt of the caller.
	NonIdempotent
	// Stream calls are answered by numbered events; they run at most once
	// unless the route is resumable.
	Stream
)

// WeightedService is one of the services among which a route is split.
type WeightedService struct {
	Service string
	// Weight is relative to the sum of the route's weights.
	Weight float64
}

// Route sends the calls below a path of a host to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       CallKind
	// Resumable streams may go on at another upstream after the last event.
	Resumable bool
	// Timeout bounds a call from its arrival; 0 means none.
	Timeout time.Duration
	// Target is the time to the answer, or to a stream's first event, within
	// which a call is on time.
	Target time.Duration
	// GapTarget is the longest pause between events of a stream that is on time.
	GapTarget time.Duration
	// Urgency orders calls under load; 0 is the most urgent.
	Urgency int
	// MaxAttempts bounds the upstreams to which one call is sent.
	MaxAttempts int
	// Public routes need no key.
	Public   bool
	Services []WeightedService
}

// Repeatable reports whether a call that may have run can be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// ServiceFor returns the service of a call. The share is in [0, 1) and stays the
// same for all attempts of the call.
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

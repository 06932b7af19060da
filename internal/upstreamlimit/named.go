package upstreamlimit

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// significantChange is the relative change of a limit that others are told of at once.
	significantChange = 0.05
	// endedRetention is how long the end of a limit is remembered, so that others learn of
	// it and their older records do not bring the limit back.
	endedRetention = 10 * time.Second
	// maxRecords bounds the records that are sent to another daemon.
	maxRecords = 128
)

// Record is a limit that an upstream named, as one daemon tells it to another.
type Record struct {
	Upstream string  `json:"u"`
	Limit    float64 `json:"l,omitempty"`
	// HasEnded is set if the upstream no longer names a limit.
	HasEnded bool `json:"e,omitempty"`
	// AgeMs is the time since the latest response that shows this, in milliseconds.
	AgeMs int64 `json:"a"`
}

// NamedOptions configures a Named. All fields are required.
type NamedOptions struct {
	// OnChange is called after limits have changed. It must not block.
	OnChange func()
	// Now is a clock that includes the time during which the instance was suspended.
	Now    func() time.Time
	Logger *log.Logger
}

// Named holds the limits that upstreams name in their responses to any daemon. It is safe
// for concurrent use.
type Named struct {
	opts NamedOptions

	mu     sync.Mutex
	limits map[string]*namedLimit
}

// namedLimit is what the latest known response of an upstream names.
type namedLimit struct {
	// limit is the latest value, and effective the one that is in effect, which follows
	// significant changes.
	limit, effective float64
	hasEnded         bool
	at               time.Time
}

// NewNamed returns a Named without limits.
func NewNamed(opts NamedOptions) *Named {
	return &Named{opts: opts, limits: map[string]*namedLimit{}}
}

// Observe records what a response of an upstream names; nil stands for no limit.
func (n *Named) Observe(upstream string, limit *float64) {
	r := Record{Upstream: upstream, HasEnded: limit == nil}
	if limit != nil {
		r.Limit = *limit
	}
	n.apply([]Record{r}, n.opts.Now(), false)
}

// Merge adds the records of another daemon, which were made at about the time at.
func (n *Named) Merge(records []Record, at time.Time) {
	n.apply(records[:min(len(records), maxRecords)], at, true)
}

// apply applies records that were made at a time. Only another daemon's tell the end of a
// limit that is not known.
func (n *Named) apply(records []Record, at time.Time, isRemote bool) {
	n.mu.Lock()
	hasChanged := false
	for _, r := range records {
		if r.HasEnded && n.limits[r.Upstream] == nil && !isRemote {
			continue
		}
		hasChanged = n.applyRecord(r, at) || hasChanged
	}
	n.mu.Unlock()
	if hasChanged {
		n.opts.OnChange()
	}
}

// applyRecord reports whether the limit in effect has changed. n.mu must be held.
func (n *Named) applyRecord(r Record, at time.Time) bool {
	observedAt := at.Add(-time.Duration(max(r.AgeMs, 0)) * time.Millisecond)
	known := n.limits[r.Upstream]
	isValid := r.Upstream != "" && r.Limit >= 0 && !math.IsNaN(r.Limit) && !math.IsInf(r.Limit, 0)
	isOld := known != nil && !observedAt.After(known.at) || r.HasEnded && at.Sub(observedAt) > endedRetention
	if !isValid || isOld {
		return false
	}
	if known == nil {
		known = &namedLimit{hasEnded: true}
		n.limits[r.Upstream] = known
	}
	known.at, known.limit = observedAt, r.Limit
	hasChanged := known.hasEnded != r.HasEnded ||
		!r.HasEnded && math.Abs(r.Limit-known.effective) > significantChange*known.effective
	if !hasChanged {
		return false
	}
	known.effective, known.hasEnded = r.Limit, r.HasEnded
	n.opts.Logger.Info("upstream limits its requests", "upstream", r.Upstream, "requestsPerSecond", r.Limit, "ended", r.HasEnded)
	return true
}

// Records returns the known limits, those of the latest responses first.
func (n *Named) Records() []Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Now()
	var records []Record
	for upstream, l := range n.limits {
		age := now.Sub(l.at)
		if !l.hasEnded || age <= endedRetention {
			records = append(records, Record{Upstream: upstream, Limit: l.limit, HasEnded: l.hasEnded, AgeMs: age.Milliseconds()})
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return int(a.AgeMs - b.AgeMs) })
	return records[:min(len(records), maxRecords)]
}

// Limit returns the limit that an upstream names, and whether it names one.
func (n *Named) Limit(upstream string) (requestsPerSecond float64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.limits[upstream]
	if l == nil || l.hasEnded {
		return 0, false
	}
	return l.effective, true
}

// Tick removes the limits of upstreams that are not known any more, and those that have
// ended some time ago. It is called about once a second.
func (n *Named) Tick(isKnown func(upstream string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Now()
	for upstream, l := range n.limits {
		if l.hasEnded && now.Sub(l.at) > endedRetention || !isKnown(upstream) {
			delete(n.limits, upstream)
		}
	}
}

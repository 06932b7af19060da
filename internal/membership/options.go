package membership

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Options are the settings of a Table.
type Options struct {
	// SubsetSize bounds the upstreams of a pool that the daemon works with.
	// Default 100.
	SubsetSize int
	// Grace is how long an instance may be absent from the list before it is
	// removed. Default 30 s; a negative value removes it at once, for lists that
	// are complete and up to date.
	Grace time.Duration
	// EvidenceWindow is the time within which a second crash without an
	// answered call in between ejects an upstream. Default 5 s.
	EvidenceWindow time.Duration
	// EjectFor is the first ejection of an upstream; each further one without
	// an answered call in between is twice as long. Default 1 s.
	EjectFor time.Duration
	// EjectMax bounds an ejection, as a returned upstream must get work again
	// soon. Default 10 s.
	EjectMax time.Duration
	// DrainHold is how long a draining answer keeps an upstream out, unless a
	// newer load report says that it drains no more. Default 30 s.
	DrainHold time.Duration
	// Remember is how long a leaving instance that is gone is remembered, so
	// that a stale list cannot bring it back. Default 10 min.
	Remember time.Duration
	// Scope receives the metrics. Default: none.
	Scope tally.Scope
	// Now is the clock. Default time.Now.
	Now func() time.Time
}

func (o *Options) setDefaults() {
	if o.SubsetSize == 0 {
		o.SubsetSize = 100
	}
	for _, d := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{
		{&o.Grace, 30 * time.Second},
		{&o.EvidenceWindow, 5 * time.Second},
		{&o.EjectFor, time.Second},
		{&o.EjectMax, 10 * time.Second},
		{&o.DrainHold, 30 * time.Second},
		{&o.Remember, 10 * time.Minute},
	} {
		if *d.field == 0 {
			*d.field = d.fallback
		}
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Now == nil {
		o.Now = time.Now
	}
}

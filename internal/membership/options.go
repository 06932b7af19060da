package membership

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Options configures a Table.
type Options struct {
	// SubsetSize is the maximum number of upstreams of a pool that the daemon
	// sends new work to. Default 100.
	SubsetSize int
	// AbsenceGrace is how long an instance may be absent from the list before it is
	// removed. Default 30 s. A negative value removes it immediately and applies
	// every list regardless of its revision, for lists that are complete and up to
	// date.
	AbsenceGrace time.Duration
	// EvidenceWindow is the time within which a second crash, without an answered
	// call in between, ejects an upstream. It is also the time after which a load
	// report with a lower sequence number is accepted. Default 5 s.
	EvidenceWindow time.Duration
	// BaseEjection is the duration of an upstream's first ejection. It doubles
	// with each further ejection without an answered call in between. Default 1 s.
	BaseEjection time.Duration
	// MaxEjection is the maximum duration of an ejection, so that a recovered
	// upstream soon receives work again. Default 10 s.
	MaxEjection time.Duration
	// DrainHold is how long an upstream receives no new work after it reported
	// that it is draining, unless a newer load report says otherwise. Default 30 s.
	DrainHold time.Duration
	// RemovedRetention is how long the record of a removed instance is retained,
	// so that a stale list cannot restore an instance that was leaving. Domain
	// notices are retained as long after their deadline. Default 10 min.
	RemovedRetention time.Duration
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
		{&o.AbsenceGrace, 30 * time.Second},
		{&o.EvidenceWindow, 5 * time.Second},
		{&o.BaseEjection, time.Second},
		{&o.MaxEjection, 10 * time.Second},
		{&o.DrainHold, 30 * time.Second},
		{&o.RemovedRetention, 10 * time.Minute},
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

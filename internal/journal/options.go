package journal

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Options are the limits of a Journal. A limit that is zero or negative takes its
// default.
type Options struct {
	// MaxBytes bounds the memory of all records together. Default 256 MiB. New
	// records are refused above seven eighths of it, so that answers in
	// progress can still grow.
	MaxBytes int64
	// MaxRecordBytes bounds the events of one record. Default 16 MiB.
	MaxRecordBytes int
	// Retention is how long a finished record is stored for callers that
	// reconnect. Default 60 s. Under memory pressure, finished records are
	// removed earlier.
	Retention time.Duration
	// DeliveredRetention is how long a record is stored after the whole answer
	// was written to a caller; its end may still have been lost in transit.
	// Default 10 s.
	DeliveredRetention time.Duration
	// Scope receives the counters. Default: none.
	Scope tally.Scope
}

func (o Options) withDefaults() Options {
	if o.MaxBytes <= 0 {
		o.MaxBytes = 256 << 20
	}
	if o.MaxRecordBytes <= 0 {
		o.MaxRecordBytes = 16 << 20
	}
	if o.Retention <= 0 {
		o.Retention = time.Minute
	}
	if o.DeliveredRetention <= 0 {
		o.DeliveredRetention = 10 * time.Second
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}

package journal

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Options are the limits of a Journal.
type Options struct {
	// MaxBytes bounds the memory of all records together. Default 256 MB. New
	// records are refused from seven eighths on, so that answers which have
	// begun can still grow.
	MaxBytes int64
	// MaxRecordBytes bounds the events of one record. Default 16 MB.
	MaxRecordBytes int
	// Retain is how long a finished record is kept for callers that return.
	// Default 60 s. Memory pressure removes finished records earlier.
	Retain time.Duration
	// RetainDelivered is how long a record is kept after a caller got the whole
	// answer; the end may still have been lost on its way. Default 10 s.
	RetainDelivered time.Duration
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
	if o.Retain <= 0 {
		o.Retain = time.Minute
	}
	if o.RetainDelivered <= 0 {
		o.RetainDelivered = 10 * time.Second
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}

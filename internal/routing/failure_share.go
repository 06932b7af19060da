package routing

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of one attempt in the share of failures. Two
	// or three failures in a row are enough to route the next requests to other
	// upstreams.
	failureWeight = 0.15
	// failureHalfLife is the time in which the share halves without attempts,
	// so that an avoided upstream is tried again after some seconds.
	failureHalfLife = 4 * time.Second
)

// failureShare is the moving average of the share of attempts that failed at an
// upstream. It also detects an upstream that fails requests while its health
// check succeeds. Times are counted from the tracker's start.
type failureShare struct {
	share     float64
	updatedAt time.Duration
}

// valueAt returns the share at a time.
func (f *failureShare) valueAt(at time.Duration) float64 {
	if f.share == 0 || at <= f.updatedAt {
		return f.share
	}
	return f.share * math.Exp2(-float64(at-f.updatedAt)/float64(failureHalfLife))
}

// observe adds the result of an attempt.
func (f *failureShare) observe(failed bool, at time.Duration) {
	value := 0.0
	if failed {
		value = 1
	}
	f.share = f.valueAt(at)
	f.share += failureWeight * (value - f.share)
	f.updatedAt = at
}

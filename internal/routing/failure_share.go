package routing

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of one attempt in the share of failures, so that
	// two or three failures in a row are enough to send the next requests
	// elsewhere.
	failureWeight = 0.15
	// failureHalfLife is the time in which the share halves without attempts: an
	// upstream that was avoided is tried again after some seconds.
	failureHalfLife = 4 * time.Second
)

// failureShare is the share of recent attempts that an upstream failed. Its health
// check may well be good meanwhile.
type failureShare struct {
	share float64
	at    time.Duration
}

// now returns the share at a time from the tracker's start.
func (f *failureShare) now(at time.Duration) float64 {
	if f.share == 0 || at <= f.at {
		return f.share
	}
	return f.share * math.Exp2(-float64(at-f.at)/float64(failureHalfLife))
}

// observe takes an attempt into account.
func (f *failureShare) observe(failed bool, at time.Duration) {
	seen := 0.0
	if failed {
		seen = 1
	}
	f.share = f.now(at)
	f.share += failureWeight * (seen - f.share)
	f.at = at
}

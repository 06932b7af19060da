package orders

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// engineState is what a holder remembers of an engine that is out of place.
type engineState struct {
	// idleSince is since when it was seen idle at each pass; zero when it was
	// not idle at the last one.
	idleSince time.Time
	// notBefore is the earliest time of the next order.
	notBefore time.Time
	retry     *backoff.ExponentialBackOff
}

func newEngineState() *engineState {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = retryInitial, retryMax
	retry.Reset()
	return &engineState{retry: retry}
}

// delay puts the next order off.
func (e *engineState) delay(now time.Time) { e.notBefore = now.Add(e.retry.NextBackOff()) }

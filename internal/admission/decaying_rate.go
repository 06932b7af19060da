package admission

import (
	"math"
	"time"
)

// decayingRate is an exponentially weighted rate per second.
type decayingRate struct {
	value     float64
	updatedAt time.Time
}

// add adds an amount that arrived now.
func (d *decayingRate) add(amount float64, timeConstant time.Duration, now time.Time) {
	d.value = d.at(timeConstant, now) + amount/timeConstant.Seconds()
	d.updatedAt = now
}

// at returns the rate at a time.
func (d *decayingRate) at(timeConstant time.Duration, now time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp(-max(0, now.Sub(d.updatedAt).Seconds())/timeConstant.Seconds())
}

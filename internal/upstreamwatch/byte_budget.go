package upstreamwatch

import "time"

// burstSeconds is the number of seconds for which unused budget accumulates while
// there is nothing to poll.
const burstSeconds = 1.0

// byteBudget limits calls to an average of rate bytes per second. A call is charged
// when its size is known, so the balance may become negative.
type byteBudget struct {
	rate       float64
	balance    float64
	refilledAt time.Time
}

func newByteBudget(rate float64) *byteBudget {
	return &byteBudget{rate: rate, balance: rate * burstSeconds}
}

// wait returns the time until the next call may start.
func (b *byteBudget) wait(now time.Time) time.Duration {
	b.refill(now)
	if b.balance > 0 {
		return 0
	}
	// One more byte makes the balance positive.
	return time.Duration((1 - b.balance) / b.rate * float64(time.Second))
}

func (b *byteBudget) charge(bytes int, now time.Time) {
	b.refill(now)
	b.balance -= float64(bytes)
}

func (b *byteBudget) refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		b.balance = min(b.rate*burstSeconds, b.balance+now.Sub(b.refilledAt).Seconds()*b.rate)
	}
	b.refilledAt = now
}

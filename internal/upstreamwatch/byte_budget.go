package upstreamwatch

import "time"

// budgetBurst is how many seconds' worth of bytes may be saved up while there
// is nothing to poll.
const budgetBurst = 1.0

// byteBudget spaces calls so that they take at most rate bytes per second. A
// call is charged when its size is known, so the balance may become negative.
type byteBudget struct {
	rate    float64
	balance float64
	at      time.Time
}

func newByteBudget(rate float64) *byteBudget {
	return &byteBudget{rate: rate, balance: rate * budgetBurst}
}

// wait returns how long to wait before the next call.
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
	if !b.at.IsZero() {
		b.balance = min(b.rate*budgetBurst, b.balance+now.Sub(b.at).Seconds()*b.rate)
	}
	b.at = now
}

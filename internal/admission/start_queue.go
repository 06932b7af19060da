package admission

import "time"

// startQueue contains the start times of the open attempts without a first
// token, oldest first. Each first token is attributed to the oldest attempt, so
// that attempts need no identifiers.
type startQueue struct {
	starts []time.Time
}

func (u *startQueue) push(now time.Time) { u.starts = append(u.starts, now) }

func (u *startQueue) popOldest() {
	if len(u.starts) > 0 {
		u.starts = u.starts[1:]
	}
}

// oldestAge returns how long the oldest attempt has been without a first token.
func (u *startQueue) oldestAge(now time.Time) time.Duration {
	if len(u.starts) == 0 {
		return 0
	}
	return now.Sub(u.starts[0])
}

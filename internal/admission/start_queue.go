package admission

import "time"

// startQueue contains the start times of the open attempts without a first
// token, oldest first. Each first token is attributed to the oldest attempt, so
// that attempts need no identifiers.
type startQueue struct {
	starts []time.Time
}

func (q *startQueue) push(now time.Time) { q.starts = append(q.starts, now) }

func (q *startQueue) popOldest() {
	if len(q.starts) > 0 {
		q.starts = q.starts[1:]
	}
}

// oldestAge returns how long the oldest attempt has been without a first token.
func (q *startQueue) oldestAge(now time.Time) time.Duration {
	if len(q.starts) == 0 {
		return 0
	}
	return now.Sub(q.starts[0])
}

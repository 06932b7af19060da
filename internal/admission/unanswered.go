package admission

import "time"

// unanswered holds the start times of the open attempts without a first token,
// oldest first. A first token is taken to be that of the oldest attempt, so that
// no attempt must be told apart.
type unanswered struct {
	starts []time.Time
}

func (u *unanswered) started(now time.Time) { u.starts = append(u.starts, now) }

func (u *unanswered) answered() {
	if len(u.starts) > 0 {
		u.starts = u.starts[1:]
	}
}

// age returns how long the oldest attempt has been without a first token.
func (u *unanswered) age(now time.Time) time.Duration {
	if len(u.starts) == 0 {
		return 0
	}
	return now.Sub(u.starts[0])
}

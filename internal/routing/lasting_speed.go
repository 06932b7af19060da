package routing

import "time"

// lastingInterval is how long a lastingSpeed is used. It is short against the minutes in which
// a lasting speed is forgotten.
const lastingInterval = time.Second

// lastingSpeed is the slowness of an upstream at a time, and its reciprocal.
type lastingSpeed struct {
	at              time.Duration
	slowness, speed float64
}

// isCurrent reports whether the values may be used at a time.
func (l *lastingSpeed) isCurrent(now time.Duration) bool {
	return l.slowness > 0 && now-l.at < lastingInterval
}

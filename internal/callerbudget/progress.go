package callerbudget

import "time"

const (
	// stallTimeout is the longest time without a byte of a body. It exceeds the usual time
	// of some lost packets by far.
	stallTimeout = 10 * time.Second
	// defaultBodyTime bounds the arrival of a body whose request has no deadline.
	defaultBodyTime = 60 * time.Second
	// speedup is by how much the rest of a body may arrive faster than its mean so far. It
	// is large, so that only bodies that cannot be complete in time are terminated before their
	// deadline.
	speedup = 16
	// attainableRate is a rate in bytes per second that a caller may reach after any pause, so
	// that a small body is waited for nearly until the deadline.
	attainableRate = 1 << 20
)

// Progress is the state of a body that is being read.
type Progress struct {
	// StartedAt is when reading began, LastAt when the last bytes arrived.
	StartedAt, LastAt time.Time
	// Deadline is that of the request; zero means none.
	Deadline time.Time
	Received int64
	// Length is the announced length; -1 means unknown.
	Length int64
}

// Expiry returns until when further bytes must arrive, or else the body is terminated: the
// deadline, stallTimeout after the last bytes, or, in the second half of the time, the moment
// from which the rest cannot be complete in time at speedup times the mean rate, nor at
// attainableRate.
func (p Progress) Expiry() time.Time {
	end := p.Deadline
	if end.IsZero() {
		end = p.StartedAt.Add(defaultBodyTime)
	}
	expiry := p.LastAt.Add(stallTimeout)
	if end.Before(expiry) {
		expiry = end
	}
	total := end.Sub(p.StartedAt)
	if p.Length <= 0 || total <= 0 {
		return expiry
	}
	// With r of l bytes after the time t of d, the rest needs (l-r)*t/(r*speedup), which
	// exceeds d-t from t = d*r*speedup / (l + r*(speedup-1)) on.
	received, length := float64(p.Received), float64(p.Length)
	t := time.Duration(float64(total) * received * speedup / (length + received*(speedup-1)))
	atRate := total - time.Duration((length-received)/attainableRate*float64(time.Second))
	if unattainable := p.StartedAt.Add(max(t, atRate, total/2)); unattainable.Before(expiry) {
		expiry = unattainable
	}
	return expiry
}

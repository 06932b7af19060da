package membership

import "time"

// record is what a Table knows of one incarnation.
type record struct {
	Instance
	// seq is the Table's change counter at the record's last change that is
	// exported.
	seq int64
	// rank is the rendezvous weight of the upstream for this daemon.
	rank uint64
	// firstSeq orders the incarnations of a name by first sight.
	firstSeq int64

	listed      bool
	absentSince time.Time
	removed     bool
	removedAt   time.Time

	generation int64
	announced  bool
	noticeSeq  int64
	noticed    bool
	leavingBy  time.Time

	drainedAt    time.Time
	drainedUntil time.Time
	failures     int
	crashedAt    time.Time
	ejectedUntil time.Time
	load         *Load
}

// leaving reports whether the instance is known to leave, by any source but
// the evidence of calls.
func (r *record) leaving() bool {
	return r.announced || r.noticed || r.State == StateLeaving
}

// blockedUntil returns until when the evidence of calls keeps new work away.
func (r *record) blockedUntil() time.Time {
	if r.drainedUntil.After(r.ejectedUntil) {
		return r.drainedUntil
	}
	return r.ejectedUntil
}

// takeGeneration takes over a generation and reports whether what that process
// announced counts. A later one ends the announcement of the one before.
func (r *record) takeGeneration(generation int64) bool {
	if generation > r.generation {
		r.generation, r.announced = generation, false
		if !r.noticed {
			r.leavingBy = time.Time{}
		}
	}
	return generation == r.generation
}

// version returns what the upstream serves: what its load report says, as the
// list lags behind orders to load another version.
func (r *record) version() string {
	if r.load != nil && r.load.Version != "" {
		return r.load.Version
	}
	return r.Version
}

func (r *record) upstream() Upstream {
	return Upstream{
		Name: r.Name, Address: r.Address, Domain: r.Domain, Region: r.Region,
		Pool: r.Pool, Version: r.version(), Class: r.Class, PricePerHour: r.PricePerHour,
		Leaving: r.leaving(), LeavingBy: r.leavingBy, Load: r.load,
	}
}

func (r *record) daemon() Daemon {
	return Daemon{Name: r.Name, Address: r.Address, Domain: r.Domain, Region: r.Region, Leaving: r.leaving(), LeavingBy: r.leavingBy}
}

func (r *record) state(now time.Time) InstanceState {
	return InstanceState{
		Instance: r.Instance, Listed: r.listed, Generation: r.generation, Announced: r.announced,
		NoticeSeq: r.noticeSeq, Noticed: r.noticed,
		LeavingInMs: remaining(r.leavingBy, now), Removed: r.removed,
	}
}

// remaining returns the milliseconds until deadline, at least 1 for a deadline
// that is set, as 0 stands for none.
func remaining(deadline, now time.Time) int64 {
	if deadline.IsZero() {
		return 0
	}
	return max(1, deadline.Sub(now).Milliseconds())
}

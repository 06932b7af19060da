package membership

import (
	"slices"
	"time"
)

// record is a Table's state of one incarnation. It is guarded by Table.mu.
type record struct {
	Instance
	// changeSeq is the Table's change counter at the last change of the exported
	// state.
	changeSeq int64
	// rank is the rendezvous weight of the upstream for this daemon.
	rank uint64
	// createdSeq is the Table's change counter at the creation of the record; it
	// orders the incarnations of a name.
	createdSeq int64

	listed      bool
	absentSince time.Time
	removed     bool
	removedAt   time.Time

	generation       int64
	announcedLeaving bool
	noticeSeq        int64
	underReclaim     bool
	leavingBy        time.Time

	// backoffUntil is until when the upstream has asked this daemon to send it nothing.
	backoffUntil time.Time
	drainedAt    time.Time
	drainedUntil time.Time
	ejections    int
	crashedAt    time.Time
	ejectedUntil time.Time
	load         *Load
}

// isLeaving reports whether the instance is leaving according to its
// announcement, a reclaim notice or the instance list. Evidence from calls does
// not count.
func (r *record) isLeaving() bool {
	return r.announcedLeaving || r.underReclaim || r.State == StateLeaving
}

// blockedUntil returns the time until which evidence from calls, a draining report or a
// backoff that it asked for excludes the upstream from new work.
func (r *record) blockedUntil() time.Time {
	return slices.MaxFunc([]time.Time{r.drainedUntil, r.ejectedUntil, r.backoffUntil}, time.Time.Compare)
}

// advanceGeneration raises the generation to the given one and cancels what the previous
// generation said of itself. It reports whether the given generation is the current one, so
// that its announcement is to be applied.
func (r *record) advanceGeneration(generation int64) bool {
	if generation > r.generation {
		if r.generation != 0 {
			// The load is that of the previous process.
			r.load = nil
		}
		r.generation, r.announcedLeaving = generation, false
		r.drainedUntil, r.backoffUntil = time.Time{}, time.Time{}
		if !r.underReclaim {
			r.leavingBy = time.Time{}
		}
	}
	return generation == r.generation
}

// version returns the version that the upstream serves. The load report takes
// precedence, as the list lags behind orders to load another version.
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
		Leaving: r.isLeaving(), LeavingBy: r.leavingBy, Generation: r.generation, Load: r.load,
	}
}

func (r *record) daemon() Daemon {
	return Daemon{Name: r.Name, Address: r.Address, Domain: r.Domain, Region: r.Region, Leaving: r.isLeaving(), LeavingBy: r.leavingBy}
}

func (r *record) state(now time.Time) InstanceState {
	return InstanceState{
		Instance: r.Instance, Listed: r.listed, Generation: r.generation, AnnouncedLeaving: r.announcedLeaving,
		NoticeSeq: r.noticeSeq, UnderReclaim: r.underReclaim,
		LeavingInMs: remainingMs(r.leavingBy, now), Removed: r.removed,
	}
}

// remainingMs returns the milliseconds until deadline. It is 0 for a zero
// deadline and at least 1 for any other, as 0 means that there is none.
func remainingMs(deadline, now time.Time) int64 {
	if deadline.IsZero() {
		return 0
	}
	return max(1, deadline.Sub(now).Milliseconds())
}

package upstreamstate

import (
	"math"
	"time"

	"rattantide/internal/membership"
)

const (
	// sampleWeight is the weight of one answer in the slowness of an upstream. The fleet gets
	// several answers per second from each, so a lasting change shows within about ten seconds.
	sampleWeight = 0.03
	// slownessHalfLife is the time without answers in which the difference of the slowness
	// from 1 halves.
	slownessHalfLife = 2 * time.Minute
	// minSlowness and maxSlowness bound the slowness of an answer.
	minSlowness, maxSlowness = 1.0 / 8, 8
	// extraInterval is the time after which slots and slowness are sent again. They change
	// rarely, but a daemon that has just started needs them.
	extraInterval = time.Second
)

// record is the state of one process.
type record struct {
	process Process
	key     key
	// load is the latest report, taken at takenAt; its slots may stem from an earlier one.
	load    membership.Load
	takenAt time.Time
	// ownAt is the time of the latest report in an answer to this daemon.
	ownAt time.Time
	// slowness is 0 before the first answer.
	slowness   float64
	slownessAt time.Time
	// sampleSum and samples are the answers to this daemon since the last message.
	sampleSum float64
	samples   int
	lastSent  [audienceCount]sentState
}

// setReport stores a report that is newer than the stored one, and reports whether it is.
func (r *record) setReport(load membership.Load, takenAt time.Time) bool {
	if !takenAt.After(r.takenAt) {
		return false
	}
	if load.Slots == 0 {
		load.Slots = r.load.Slots
	}
	r.load, r.takenAt = load, takenAt
	return true
}

// addSlowness adds a measurement of the slowness.
func (r *record) addSlowness(ratio float64, now time.Time) {
	if !(ratio > 0) {
		return
	}
	ratio = min(max(ratio, minSlowness), maxSlowness)
	known := r.slownessBy(now)
	r.slowness, r.slownessAt = known+sampleWeight*(ratio-known), now
}

// slownessBy returns the slowness as discounted by its age; 1 is that of an unknown upstream.
func (r *record) slownessBy(now time.Time) float64 {
	if r.slowness == 0 {
		return 1
	}
	age := max(0, now.Sub(r.slownessAt))
	return 1 + (r.slowness-1)*math.Exp2(-float64(age)/float64(slownessHalfLife))
}

// isUnsent reports whether the record has a report that an audience was not sent yet.
func (r *record) isUnsent(to audience, now time.Time) bool {
	at := r.takenAt
	if to == toCollectors {
		// Another daemon has already sent what is newer than the own answer.
		if at = r.ownAt; at.Before(r.takenAt) {
			return false
		}
	}
	return r.load.Pace > 0 && at.After(r.lastSent[to].takenAt) && now.Sub(at) <= maxAge
}

// importance ranks unsent records for an audience: a change of the pace or of the load changes
// choices, and a record that was not sent for long may have changed meanwhile.
func (r *record) importance(to audience) float64 {
	sent := &r.lastSent[to]
	if sent.takenAt.IsZero() || sent.pace == 0 {
		return math.MaxFloat64
	}
	change := math.Abs(math.Log2(r.load.Pace / sent.pace))
	occupancy := math.Abs(float64(r.load.Running + r.load.Waiting - sent.occupancy))
	change += occupancy / float64(max(1, r.load.Slots))
	return change + r.takenAt.Sub(sent.takenAt).Seconds()
}

// encode appends the record for an audience and records it as sent.
func (r *record) encode(dst []byte, to audience, now time.Time) []byte {
	e := entry{
		key: r.key, age: max(0, now.Sub(r.takenAt)), pace: newRatioCode(r.load.Pace),
		running: r.load.Running, waiting: r.load.Waiting, slots: r.load.Slots,
	}
	sent := &r.lastSent[to]
	*sent = sentState{takenAt: r.takenAt, pace: r.load.Pace, occupancy: r.load.Running + r.load.Waiting, extraAt: sent.extraAt}
	if r.samples > 0 && to == toCollectors {
		e.hasExtra, e.slowness = true, newRatioCode(r.sampleSum/float64(r.samples))
		r.sampleSum, r.samples = 0, 0
	} else if sent.extraAt.IsZero() || now.Sub(sent.extraAt) >= extraInterval {
		e.hasExtra = true
		if to != toCollectors && r.slowness > 0 {
			e.slowness = newRatioCode(r.slownessBy(now))
		}
	}
	if e.hasExtra {
		sent.extraAt = now
	}
	return e.append(dst)
}

// update returns the report with its age and the lasting speed of the process.
func (r *record) update(now time.Time) Update {
	load := r.load
	load.AgeMs = max(0, now.Sub(r.takenAt).Milliseconds())
	if r.slowness > 0 {
		load.Speed = 1 / r.slownessBy(now)
	}
	return Update{Process: r.process, Load: load}
}

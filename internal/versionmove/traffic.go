package versionmove

import "time"

// rateWindow is the time over which the rate of a service's traffic is measured.
const rateWindow = 2 * time.Second

// Traffic counts the attempts at the upstreams of a service during a move.
type Traffic struct {
	// Total counts the attempts at all versions that are known of, New those at the new
	// version.
	Total, New int64
	// PerSecond is the current rate of all attempts. IsRateKnown reports whether it is
	// known, for which all daemons must have reported for some time.
	PerSecond   float64
	IsRateKnown bool
}

// trafficCounter derives the Traffic of a move from the tallies of all processes. It is not
// safe for concurrent use.
type trafficCounter struct {
	service, to string
	// newBase holds the attempts at the new version before the move, by process, and
	// otherBase those at the other versions when the process was first seen.
	newBase, otherBase map[string]int64
	// samples holds the totals of the last rateWindow, since all daemons have reported.
	samples []trafficSample
}

type trafficSample struct {
	at    time.Time
	total int64
}

// newTrafficCounter returns a trafficCounter. before holds the tallies of all processes at
// the beginning of the move, nil if that is not known: all attempts at the new version then
// count.
func newTrafficCounter(service, to string, before map[string]map[string]Tally) *trafficCounter {
	c := &trafficCounter{service: service, to: to, newBase: map[string]int64{}, otherBase: map[string]int64{}}
	for process, tallies := range before {
		c.newBase[process] = tallies[Key(service, to)].Started
	}
	return c
}

// update returns the Traffic. tallies holds the latest tallies by process, and isComplete
// reports whether those of all live daemons are among them.
func (c *trafficCounter) update(now time.Time, tallies map[string]map[string]Tally, isComplete bool) Traffic {
	var t Traffic
	for process, byVersion := range tallies {
		started := byVersion[Key(c.service, c.to)].Started
		t.New += started - c.newBase[process]
		others := startedOf(c.service, byVersion) - started
		if _, known := c.otherBase[process]; !known {
			c.otherBase[process] = others
		}
		t.Total += others - c.otherBase[process]
	}
	t.Total += t.New
	t.PerSecond, t.IsRateKnown = c.rate(now, t.Total, isComplete)
	return t
}

// rate adds a total to the samples and returns the rate over the last rateWindow.
func (c *trafficCounter) rate(now time.Time, total int64, isComplete bool) (perSecond float64, isKnown bool) {
	if !isComplete {
		c.samples = nil
		return 0, false
	}
	c.samples = append(c.samples, trafficSample{at: now, total: total})
	for len(c.samples) > 1 && now.Sub(c.samples[1].at) >= rateWindow {
		c.samples = c.samples[1:]
	}
	first := c.samples[0]
	if now.Sub(first.at) < rateWindow {
		return 0, false
	}
	return float64(total-first.total) / now.Sub(first.at).Seconds(), true
}

// startedOf returns the number of attempts at all versions of a service.
func startedOf(service string, tallies map[string]Tally) int64 {
	var sum int64
	for key, t := range tallies {
		if isKeyOf(service, key) {
			sum += t.Started
		}
	}
	return sum
}

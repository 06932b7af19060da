package versionmove

import "time"

const (
	// minSwitchRoom is the share of the needed upstreams that the new version must have for
	// the switch not to wait. A few missing ones are within the reserve of the need.
	minSwitchRoom = 0.9
	// unknownNeed replaces the needed upstreams, as a share of the old version's, where
	// the number that the load needs is unknown.
	unknownNeed = 0.5
	// roomSwitchLead is the time before the deadline from which a switch no longer waits for
	// room. It leaves time for the handover and the report of the outcome.
	roomSwitchLead = 3 * handoverTime
)

// Room compares the live upstreams of the new version of a move with those that take the
// traffic now and those that the load needs.
type Room struct {
	// New and Old are the live upstreams of both versions.
	New, Old int
	// Needed is the number of upstreams that the load needs; 0 means that it is unknown.
	Needed int
}

// isEnough reports whether the new version can take all requests as well as the old one does.
// Without a live upstream of the old version, waiting would serve nothing.
func (r Room) isEnough() bool {
	needed := unknownNeed * float64(r.Old)
	if r.Needed > 0 {
		needed = minSwitchRoom * float64(min(r.Old, r.Needed))
	}
	return float64(r.New) >= needed
}

// isLost reports whether the switch would leave no upstream although the old version has some.
func (r Room) isLost() bool { return r.New == 0 && r.Old > 0 }

// switchLead returns how long before the deadline the new version gets all traffic: as
// planned, or as late as possible if it has too little room.
func (r Room) switchLead(plan canaryPlan) time.Duration {
	if r.isEnough() {
		return plan.switchLead
	}
	return min(plan.switchLead, roomSwitchLead)
}

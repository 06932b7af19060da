package admission

import (
	"math"
	"time"
)

// RoomExplanation states the figures, in tokens, that a request was refused on.
type RoomExplanation struct {
	Priority int `json:"priority"`
	// Room is the limit of outstanding work of this daemon, and Share the part of it that
	// more urgent priorities leave.
	Room  float64 `json:"room"`
	Share float64 `json:"share"`
	// Outstanding is this daemon's outstanding work, and Excess what must be answered before
	// the request could start.
	Outstanding float64 `json:"outstanding"`
	Excess      float64 `json:"excess"`
	// Capacity is the throughput per second that belongs to this daemon.
	Capacity float64 `json:"capacity"`
	// UsesFleet reports whether the figures of the fleet apply, which are FleetAge old.
	UsesFleet   bool          `json:"usesFleet"`
	FleetAge    time.Duration `json:"fleetAgeNs,omitempty"`
	IsCapped    bool          `json:"capped,omitempty"`
	IsReturning bool          `json:"returning,omitempty"`
}

// explainRoom returns the figures that a request is decided on.
func (p *pool) explainRoom(r *Request, now time.Time) *RoomExplanation {
	l := p.ranks
	room := l.room(p.workLimit, now)
	e := &RoomExplanation{
		Priority: rankOf(r), Room: min(room.value, maxReportedRoom), Share: l.remainingShare(rankOf(r), &room, now),
		Outstanding: p.workLimit.outstanding, Excess: l.excess(r, p.workLimit, now), Capacity: room.capacity,
		UsesFleet: room.fleetShare > 0, IsCapped: l.isCapped(r, now), IsReturning: r.isReturning,
	}
	if math.IsNaN(e.Excess) {
		e.Excess = 0
	}
	if e.UsesFleet {
		e.FleetAge = now.Sub(l.fleet.receivedAt)
	}
	return e
}

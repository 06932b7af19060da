package admission

import "time"

const (
	budgetSlot  = 10 * time.Second
	budgetSlots = 6
	// budgetFloor is the number of repeats per minute that any share above 0
	// allows. At low traffic, a share of the requests of the last minute would
	// round to none.
	budgetFloor = 10
)

// budget allows repeats up to a share of the requests of the last minute. Over
// a minute, that share is large enough to repeat all requests of a lost
// upstream at once, while a lasting fault cannot multiply the traffic.
type budget struct {
	slots    [budgetSlots]struct{ firsts, repeats float64 }
	lastSlot int64
}

// advance clears the slots that have expired and returns the index of the
// current one.
func (b *budget) advance(now time.Time) int {
	slot := now.UnixNano() / int64(budgetSlot)
	if slot-b.lastSlot >= budgetSlots {
		*b = budget{lastSlot: slot}
	}
	for b.lastSlot < slot {
		b.lastSlot++
		b.slots[b.lastSlot%budgetSlots] = struct{ firsts, repeats float64 }{}
	}
	return int(b.lastSlot % budgetSlots)
}

func (b *budget) recordFirst(now time.Time) { b.slots[b.advance(now)].firsts++ }

// take consumes one repeat. It returns false when the share is used up; a share
// of 0 allows no repeats.
func (b *budget) take(share float64, now time.Time) bool {
	i := b.advance(now)
	if share <= 0 {
		return false
	}
	firsts, repeats := 0.0, 0.0
	for _, s := range b.slots {
		firsts += s.firsts
		repeats += s.repeats
	}
	if repeats+1 > max(budgetFloor, share*firsts) {
		return false
	}
	b.slots[i].repeats++
	return true
}

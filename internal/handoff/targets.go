package handoff

import (
	"sync"

	"rattantide/internal/membership"
)

// successorPicker chooses successors and distributes records over them. It is
// safe for concurrent use.
type successorPicker struct {
	self    membership.Daemon
	members Members

	mu       sync.Mutex
	assigned map[string]int
	total    int
}

// next returns a successor for a record: the first live daemon in rendezvous
// order that has not exceeded its share, preferably in another failure domain,
// because a whole domain may be reclaimed together. The record's backup is
// chosen last: if it became the holder, there would be no copy until a new
// backup has one.
func (t *successorPicker) next(id, backup string, tried map[string]bool) (membership.Daemon, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var live []membership.Daemon
	var backupDaemon membership.Daemon
	for _, d := range t.members.Daemons() {
		switch {
		case d.Name == t.self.Name || d.Leaving || tried[d.Name]:
		case d.Name == backup:
			backupDaemon = d
		default:
			live = append(live, d)
		}
	}
	if len(live) == 0 {
		return backupDaemon, backupDaemon.Name != ""
	}
	order := rendezvousOrder(id, live)
	// A limit of a quarter above the even share leaves most records at their
	// first choice.
	share := (t.total+1)*5/(4*len(live)) + 1
	best := -1
	for i, d := range order {
		if t.assigned[d.Name] >= share {
			continue
		}
		if d.Domain != t.self.Domain {
			best = i
			break
		}
		if best < 0 {
			best = i
		}
	}
	if best < 0 {
		best = 0
	}
	t.assigned[order[best].Name]++
	t.total++
	return order[best], true
}

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
// order that has not reached its share, preferably in another failure domain,
// because a whole domain may be reclaimed together. The record's backup is
// chosen last: if it became the holder, there would be no copy until a new
// backup has one. It returns false if there is no daemon that was not tried.
func (p *successorPicker) next(id, backup string, tried map[string]bool) (membership.Daemon, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var live []membership.Daemon
	var backupDaemon membership.Daemon
	for _, d := range p.members.Daemons() {
		switch {
		case d.Name == p.self.Name || d.Leaving || tried[d.Name]:
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
	share := (p.total+1)*5/(4*len(live)) + 1
	best := -1
	for i, d := range order {
		if p.assigned[d.Name] >= share {
			continue
		}
		if d.Domain != p.self.Domain {
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
	p.assigned[order[best].Name]++
	p.total++
	return order[best], true
}

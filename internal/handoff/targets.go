package handoff

import (
	"sync"

	"rattantide/internal/membership"
)

// targets chooses successors and spreads records over them. It is safe for
// concurrent use.
type targets struct {
	self    membership.Daemon
	members Members

	mu    sync.Mutex
	given map[string]int
	total int
}

// next returns a successor for a record: the first live daemon in the record's
// order that has not more than its share, preferably in another failure domain,
// because a whole domain may be reclaimed together. The record's backup comes
// last: if it became the holder, there would be no copy until the next one.
func (t *targets) next(id, backup string, tried map[string]bool) (membership.Daemon, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var live []membership.Daemon
	var last membership.Daemon
	for _, d := range t.members.Daemons() {
		switch {
		case d.Name == t.self.Name || d.Leaving || tried[d.Name]:
		case d.Name == backup:
			last = d
		default:
			live = append(live, d)
		}
	}
	if len(live) == 0 {
		return last, last.Name != ""
	}
	order := ranked(id, live)
	// A quarter above the even share keeps most records at the first choice.
	share := (t.total+1)*5/(4*len(live)) + 1
	best := -1
	for i, d := range order {
		if t.given[d.Name] >= share {
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
	t.given[order[best].Name]++
	t.total++
	return order[best], true
}

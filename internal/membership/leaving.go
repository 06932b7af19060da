package membership

import (
	"cmp"
	"slices"
)

// maxLeavingUpstreams bounds the result of Table.LeavingUpstreams.
const maxLeavingUpstreams = 64

// LeavingUpstream identifies the process of an upstream that has said that it is leaving.
type LeavingUpstream struct {
	Name    string `json:"n"`
	Address string `json:"a"`
	// Generation is that of the process, as in Announcement.
	Generation int64 `json:"g,omitempty"`
}

// RecordLeaving records that the process of an upstream has said that it is leaving. Like a
// leaving announcement, that overrides the instance list until the incarnation or the
// generation changes. It reports whether this was new.
func (t *Table) RecordLeaving(u LeavingUpstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	r := t.records[incarnation{u.Name, u.Address}]
	if r == nil {
		// It is kept like one that was removed, until the list contains it.
		r = t.addRecord(Instance{Name: u.Name, Address: u.Address, Role: RoleUpstream, State: StateLive}, now)
		r.removed, r.removedAt = true, now
	}
	if !r.advanceGeneration(u.Generation) || r.announcedLeaving {
		return false
	}
	r.announcedLeaving = true
	r.changeSeq = t.nextSeq()
	if !r.removed {
		t.publish()
	}
	return true
}

// LeavingUpstreams returns the known upstreams that have said that they are leaving and that
// the instance list does not report as leaving, the latest first.
func (t *Table) LeavingUpstreams() []LeavingUpstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var leaving []*record
	for _, r := range t.records {
		if r.Role == RoleUpstream && r.announcedLeaving && !r.removed && r.State != StateLeaving {
			leaving = append(leaving, r)
		}
	}
	slices.SortFunc(leaving, func(a, b *record) int { return cmp.Compare(b.changeSeq, a.changeSeq) })
	var out []LeavingUpstream
	for _, r := range leaving[:min(len(leaving), maxLeavingUpstreams)] {
		out = append(out, LeavingUpstream{Name: r.Name, Address: r.Address, Generation: r.generation})
	}
	return out
}

// IsUsable reports whether a request may be sent to an upstream that was chosen earlier: it
// is still a member, is not leaving, not withheld and has not asked for a backoff.
func (t *Table) IsUsable(u Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[incarnation{u.Name, u.Address}]
	return r != nil && !r.removed && !r.isLeaving() && !r.Withheld && !t.options.Now().Before(r.backoffUntil)
}

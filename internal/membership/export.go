package membership

import (
	"strconv"
	"strings"
	"time"
)

// Export returns what changed since a position that Position returned or a
// State named, or everything when the position is empty or of another Table.
func (t *Table) Export(since string) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	from := t.parsePosition(since)
	state := State{Epoch: t.epoch, Seq: t.seq, Full: from < 0, ListRevision: t.listRevision}
	if from == t.seq {
		return state
	}
	for _, r := range t.records {
		if r.seq > from {
			state.Instances = append(state.Instances, r.state(now))
		}
	}
	for domain, notice := range t.domains {
		// A reclaim whose time is over says nothing about instances that the
		// receiver has not seen; those it meant carry it themselves.
		expired := notice.noticed && !now.Before(notice.by)
		if notice.changed > from && !expired {
			state.Domains = append(state.Domains, DomainState{
				Domain: domain, NoticeSeq: notice.seq, Noticed: notice.noticed,
				LeavingInMs: remaining(notice.by, now),
			})
		}
	}
	return state
}

// Position returns the point up to which the State reaches, for Export.
func (s State) Position() string { return s.Epoch + "/" + strconv.FormatInt(s.Seq, 10) }

// parsePosition returns -1 for a position that asks for everything.
func (t *Table) parsePosition(position string) int64 {
	epoch, seq, ok := strings.Cut(position, "/")
	if !ok || epoch != t.epoch {
		return -1
	}
	n, err := strconv.ParseInt(seq, 10, 64)
	if err != nil || n < 0 || n > t.seq {
		return -1
	}
	return n
}

// Import takes over what another Table exported. It ranks as the sources it
// was made from: announcements and notices are added to those held, and what
// the list said is taken over unless a newer list is held.
func (t *Table) Import(state State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	changed := false
	for _, d := range state.Domains {
		notice := domainNotice{seq: d.NoticeSeq, noticed: d.Noticed, by: now.Add(time.Duration(d.LeavingInMs) * time.Millisecond)}
		changed = t.noticeDomain(d.Domain, notice) || changed
	}
	newer := state.ListRevision >= t.listRevision
	named := make(map[incarnation]bool, len(state.Instances))
	for _, instance := range state.Instances {
		if instance.Listed {
			named[instance.incarnation()] = true
		}
		changed = t.importInstance(instance, newer, now) || changed
	}
	if newer && state.ListRevision > 0 {
		t.listRevision, t.listAt = state.ListRevision, now
		if state.Full {
			changed = t.markAbsent(named, now) || changed
		}
	}
	if t.sweep(now) || changed {
		t.publish()
	}
}

// importInstance merges one incarnation and reports whether it changed
// anything. The lock is held.
func (t *Table) importInstance(in InstanceState, newer bool, now time.Time) bool {
	r := t.records[in.incarnation()]
	changed := r == nil
	if r == nil {
		r = t.add(in.Instance, now)
		r.absentSince = now
		newer = true
	}
	if newer {
		changed = r.importListed(in, now) || changed
	}
	by := time.Time{}
	if in.LeavingInMs > 0 {
		by = now.Add(time.Duration(in.LeavingInMs) * time.Millisecond)
	}
	if in.NoticeSeq > 0 {
		changed = r.notice(domainNotice{seq: in.NoticeSeq, noticed: in.Noticed, by: by}) || changed
	}
	generation := r.generation
	counts := r.takeGeneration(in.Generation)
	if in.Announced && counts && !r.announced {
		r.announced = true
		if !by.IsZero() {
			r.leavingBy = by
		}
		changed = true
	}
	changed = changed || generation != r.generation
	if changed {
		r.seq = t.next()
	}
	return changed
}

// importListed takes over what a list said that is not older than the one held.
func (r *record) importListed(in InstanceState, now time.Time) bool {
	if r.listed == in.Listed && r.removed == in.Removed && r.Instance == in.Instance {
		return false
	}
	if r.listed && !in.Listed {
		r.absentSince = now
	}
	if in.Removed && !r.removed {
		r.removedAt = now
	}
	r.Instance, r.listed, r.removed = in.Instance, in.Listed, in.Removed
	return true
}

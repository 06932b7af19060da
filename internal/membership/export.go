package membership

import (
	"strconv"
	"strings"
	"time"
)

// Export returns the changes since a position, as returned by Table.Position or
// State.Position. It returns the full state if the position is empty, invalid or
// from another Table.
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
		if r.changeSeq > from {
			state.Instances = append(state.Instances, r.state(now))
		}
	}
	for domain, notice := range t.domainNotices {
		// A reclaim whose deadline has passed must not apply to instances that the
		// receiver does not know yet; the instances that it did apply to are
		// exported with the notice in their own state.
		expired := notice.isReclaim && !now.Before(notice.deadline)
		if notice.changeSeq > from && !expired {
			state.Domains = append(state.Domains, DomainState{
				Domain: domain, NoticeSeq: notice.seq, UnderReclaim: notice.isReclaim,
				LeavingInMs: remainingMs(notice.deadline, now),
			})
		}
	}
	return state
}

// Position returns the position of the State in its Table's history, for the
// next call of Export.
func (s State) Position() string { return s.Epoch + "/" + strconv.FormatInt(s.Seq, 10) }

// parsePosition returns the change counter of a position, or -1 if the full state
// must be exported.
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

// Import merges the exported State of another Table. Each part has the precedence
// of its source: announcements and notices are added to the known ones, and
// entries of the instance list are applied unless a newer list was applied here.
func (t *Table) Import(state State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	changed := false
	for _, d := range state.Domains {
		notice := noticeState{seq: d.NoticeSeq, isReclaim: d.UnderReclaim, deadline: now.Add(time.Duration(d.LeavingInMs) * time.Millisecond)}
		changed = t.applyDomainNotice(d.Domain, notice) || changed
	}
	applyList := state.ListRevision >= t.listRevision
	present := make(map[incarnation]bool, len(state.Instances))
	for _, instance := range state.Instances {
		if instance.Listed {
			present[instance.incarnation()] = true
		}
		changed = t.importInstance(instance, applyList, now) || changed
	}
	if applyList && state.ListRevision > 0 {
		t.listRevision, t.listAppliedAt = state.ListRevision, now
		if state.Full {
			changed = t.markAbsent(present, now) || changed
		}
	}
	if t.removeExpired(now) || changed {
		t.publish()
	}
}

// importInstance merges the state of one incarnation and reports whether its
// record changed. applyList is set if the sender's instance list is not older
// than the one applied here. t.mu must be held.
func (t *Table) importInstance(in InstanceState, applyList bool, now time.Time) bool {
	r := t.records[in.incarnation()]
	changed := r == nil
	if r == nil {
		r = t.addRecord(in.Instance, now)
		r.absentSince = now
		applyList = true
	}
	if applyList {
		changed = r.importListEntry(in, now) || changed
	}
	leavingBy := time.Time{}
	if in.LeavingInMs > 0 {
		leavingBy = now.Add(time.Duration(in.LeavingInMs) * time.Millisecond)
	}
	if in.NoticeSeq > 0 {
		changed = r.applyNotice(noticeState{seq: in.NoticeSeq, isReclaim: in.UnderReclaim, deadline: leavingBy}) || changed
	}
	generation := r.generation
	isCurrent := r.advanceGeneration(in.Generation)
	if in.AnnouncedLeaving && isCurrent && !r.announcedLeaving {
		r.announcedLeaving = true
		if !leavingBy.IsZero() {
			r.leavingBy = leavingBy
		}
		changed = true
	}
	changed = changed || generation != r.generation
	if changed {
		r.changeSeq = t.nextSeq()
	}
	return changed
}

// importListEntry applies the list entry of another Table, whose instance list is
// not older than the one applied here. It reports whether the record changed.
func (r *record) importListEntry(in InstanceState, now time.Time) bool {
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

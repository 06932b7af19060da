package membership

import "time"

// ApplyList applies a version of the instance list. A list with a lower revision
// than the current one is ignored, unless no list has been applied for the grace
// period: the list service is then assumed to have been restored from older data.
// Instances that are absent from the list are removed after the grace period.
func (t *Table) ApplyList(list InstanceList) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	if list.Revision < t.listRevision && now.Sub(t.listAppliedAt) < t.options.AbsenceGrace {
		t.options.Scope.Counter("membership_old_lists").Inc(1)
		return
	}
	t.listRevision, t.listAppliedAt = list.Revision, now
	changed := false
	present := make(map[incarnation]bool, len(list.Instances))
	for _, instance := range list.Instances {
		present[instance.incarnation()] = true
		changed = t.applyListEntry(instance, now) || changed
	}
	changed = t.markAbsent(present, now) || changed
	if t.removeExpired(now) || changed {
		t.publish()
	}
}

// applyListEntry applies one entry of the instance list and reports whether the
// record changed. t.mu must be held.
func (t *Table) applyListEntry(instance Instance, now time.Time) bool {
	r := t.records[instance.incarnation()]
	if r == nil {
		r = t.addRecord(instance, now)
		r.listed = true
		return true
	}
	// The list may be older than an announcement or a notice, so it does not
	// cancel either of them. A state of leaving that came from the list itself
	// can change back to live.
	if r.listed && !r.removed && r.Instance == instance {
		r.absentSince = time.Time{}
		return false
	}
	r.Instance, r.listed, r.removed, r.absentSince = instance, true, false, time.Time{}
	r.advanceGeneration(instance.StartedAtMs)
	r.changeSeq = t.nextSeq()
	return true
}

// addRecord creates the record of an unknown incarnation and applies the notices
// that were received before it became known. t.mu must be held.
func (t *Table) addRecord(instance Instance, now time.Time) *record {
	r := &record{Instance: instance, generation: instance.StartedAtMs, rank: Weight(t.self.Name, instance.Name)}
	r.changeSeq = t.nextSeq()
	r.createdSeq = r.changeSeq
	t.records[instance.incarnation()] = r
	if notice, ok := t.domainNotices[instance.Domain]; ok && notice.covers(now) {
		r.applyNotice(notice)
	}
	if notice, ok := t.pendingNotices[instance.Name]; ok {
		if notice.covers(now) {
			r.applyNotice(notice)
		}
		delete(t.pendingNotices, instance.Name)
	}
	return r
}

// markAbsent marks the listed records that are not in present as absent from the
// list and reports whether there were any. t.mu must be held.
func (t *Table) markAbsent(present map[incarnation]bool, now time.Time) bool {
	changed := false
	for key, r := range t.records {
		if present[key] || !r.listed {
			continue
		}
		r.listed, r.absentSince = false, now
		r.changeSeq = t.nextSeq()
		changed = true
	}
	return changed
}

// Tick removes the instances that have been absent from the list for the grace
// period. It should be called about once per second.
func (t *Table) Tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.removeExpired(t.options.Now()) {
		t.publish()
	}
}

// removeExpired marks records as removed after the grace period, and deletes
// removed records and notices after their retention. It reports whether the view
// of readers changes. t.mu must be held.
func (t *Table) removeExpired(now time.Time) bool {
	changed := false
	for key, r := range t.records {
		switch {
		case key == incarnation{t.self.Name, t.self.Address}:
		case r.removed:
			if now.Sub(r.removedAt) >= t.options.RemovedRetention {
				delete(t.records, key)
			}
		case !r.listed && now.Sub(r.absentSince) >= t.options.AbsenceGrace:
			r.removed, r.removedAt = true, now
			r.changeSeq = t.nextSeq()
			changed = true
		}
	}
	for domain, notice := range t.domainNotices {
		if now.Sub(notice.deadline) >= t.options.RemovedRetention {
			delete(t.domainNotices, domain)
		}
	}
	for name, notice := range t.pendingNotices {
		if now.After(notice.deadline) {
			delete(t.pendingNotices, name)
		}
	}
	return changed
}

// ApplyNotices applies reclaim notices and cancellations immediately. Their
// deadlines count from the time of the call. A reclaim whose deadline has passed
// is ignored: a new relay reads all past notices, and the instance name may
// already have been reused by a replacement.
func (t *Table) ApplyNotices(notices ...Notice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	changed := false
	for _, n := range notices {
		if n.Kind == NoticeReclaim && n.DeadlineMs <= 0 {
			continue
		}
		notice := noticeState{seq: n.Seq, isReclaim: n.Kind == NoticeReclaim, deadline: now.Add(time.Duration(n.DeadlineMs) * time.Millisecond)}
		if n.Instance != "" {
			changed = t.applyInstanceNotice(n.Instance, notice) || changed
		} else if n.Domain != "" {
			changed = t.applyDomainNotice(n.Domain, notice) || changed
		}
	}
	if changed {
		t.publish()
	}
}

// applyInstanceNotice applies a notice to the current incarnation of a name, or
// stores it until an instance of that name is added. It reports whether a record
// changed. t.mu must be held.
func (t *Table) applyInstanceNotice(name string, notice noticeState) bool {
	var current *record
	for _, r := range t.records {
		if r.Name == name && !r.removed && (current == nil || supersedes(r, current)) {
			current = r
		}
	}
	if current == nil {
		if previous := t.pendingNotices[name]; notice.seq > previous.seq {
			t.pendingNotices[name] = notice
		}
		return false
	}
	if !current.applyNotice(notice) {
		return false
	}
	current.changeSeq = t.nextSeq()
	return true
}

// applyDomainNotice applies a notice to every instance of a failure domain and
// stores it for instances that appear in the list later. It reports whether the
// notice is newer than the stored one. t.mu must be held.
func (t *Table) applyDomainNotice(domain string, notice noticeState) bool {
	if previous, ok := t.domainNotices[domain]; ok && previous.seq >= notice.seq {
		return false
	}
	notice.changeSeq = t.nextSeq()
	t.domainNotices[domain] = notice
	for _, r := range t.records {
		if r.Domain == domain && !r.removed && r.applyNotice(notice) {
			r.changeSeq = t.nextSeq()
		}
	}
	return true
}

// applyNotice applies a notice unless one with the same or a higher sequence
// number was applied before, and reports whether it did.
func (r *record) applyNotice(n noticeState) bool {
	if n.seq <= r.noticeSeq {
		return false
	}
	r.noticeSeq, r.underReclaim = n.seq, n.isReclaim
	switch {
	case n.isReclaim:
		r.leavingBy = n.deadline
	case !r.announcedLeaving:
		r.leavingBy = time.Time{}
	}
	return true
}

// Announce applies an instance's announcement. A leaving announcement overrides
// the instance list until the incarnation or the generation changes. A live
// announcement adds the instance before it appears in the lagging list.
func (t *Table) Announce(a Announcement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	r := t.records[incarnation{a.Name, a.Address}]
	known := r != nil && !r.removed
	if r == nil {
		r = t.addRecord(Instance{
			Name: a.Name, Address: a.Address, Domain: a.Domain, Region: a.Region, Role: a.Role, State: StateLive,
		}, now)
	}
	if !known {
		r.removed, r.absentSince = false, now
	}
	before := *r
	if !r.advanceGeneration(a.Generation) {
		return
	}
	if !a.Live && !r.announcedLeaving {
		r.announcedLeaving = true
		if a.LeavingInMs > 0 {
			r.leavingBy = now.Add(time.Duration(a.LeavingInMs) * time.Millisecond)
		}
	}
	if !known || before.generation != r.generation || before.announcedLeaving != r.announcedLeaving {
		r.changeSeq = t.nextSeq()
		t.publish()
	}
}

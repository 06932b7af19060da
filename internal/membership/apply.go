package membership

import "time"

// ApplyList takes over the instance list. A list older than the one held is
// ignored, unless only older ones have come for the grace period, as then the
// list itself was restored. Instances that the list does not name are removed
// after the grace period.
func (t *Table) ApplyList(list InstanceList) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	if list.Revision < t.listRevision && now.Sub(t.listAt) < t.options.Grace {
		t.options.Scope.Counter("membership_old_lists").Inc(1)
		return
	}
	t.listRevision, t.listAt = list.Revision, now
	changed := false
	named := make(map[incarnation]bool, len(list.Instances))
	for _, instance := range list.Instances {
		named[instance.incarnation()] = true
		changed = t.list(instance, now) || changed
	}
	changed = t.markAbsent(named, now) || changed
	if t.sweep(now) || changed {
		t.publish()
	}
}

// list takes over one entry of the list and reports whether it changed
// anything. The lock is held.
func (t *Table) list(instance Instance, now time.Time) bool {
	r := t.records[instance.incarnation()]
	if r == nil {
		r = t.add(instance, now)
		r.listed = true
		return true
	}
	// The list may be older than an announcement, so leaving is not undone; an
	// entry that the list itself called leaving may be called live again.
	if r.listed && !r.removed && r.Instance == instance {
		r.absentSince = time.Time{}
		return false
	}
	r.Instance, r.listed, r.removed, r.absentSince = instance, true, false, time.Time{}
	r.seq = t.next()
	return true
}

// add creates the record of an incarnation that is seen for the first time.
// The lock is held.
func (t *Table) add(instance Instance, now time.Time) *record {
	r := &record{Instance: instance, rank: Weight(t.self.Name, instance.Name)}
	r.seq = t.next()
	r.firstSeq = r.seq
	t.records[instance.incarnation()] = r
	if notice, ok := t.domains[instance.Domain]; ok && notice.covers(now) {
		r.notice(notice)
	}
	if notice, ok := t.pending[instance.Name]; ok {
		if notice.covers(now) {
			r.notice(notice)
		}
		delete(t.pending, instance.Name)
	}
	return r
}

// markAbsent notes which listed instances are not named any more. The lock is
// held.
func (t *Table) markAbsent(named map[incarnation]bool, now time.Time) bool {
	changed := false
	for key, r := range t.records {
		if named[key] || !r.listed {
			continue
		}
		r.listed, r.absentSince = false, now
		r.seq = t.next()
		changed = true
	}
	return changed
}

// Tick removes what has been absent from the list for the grace period. Call
// it about once a second.
func (t *Table) Tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sweep(t.options.Now()) {
		t.publish()
	}
}

// sweep removes and forgets records, and reports whether readers see a
// difference. The lock is held.
func (t *Table) sweep(now time.Time) bool {
	changed := false
	for key, r := range t.records {
		switch {
		case key == incarnation{t.self.Name, t.self.Address}:
		case r.removed:
			if now.Sub(r.removedAt) >= t.options.Remember {
				delete(t.records, key)
			}
		case !r.listed && now.Sub(r.absentSince) >= t.options.Grace:
			r.removed, r.removedAt = true, now
			r.seq = t.next()
			changed = true
		}
	}
	for domain, notice := range t.domains {
		if now.Sub(notice.by) >= t.options.Remember {
			delete(t.domains, domain)
		}
	}
	for name, notice := range t.pending {
		if now.After(notice.by) {
			delete(t.pending, name)
		}
	}
	return changed
}

// ApplyNotices takes over reclaim notices and cancellations, whose deadlines
// count from now. A notice takes effect immediately. A reclaim whose deadline has
// passed is ignored: a new relay reads all old notices, and the name may belong
// to a replacement by now.
func (t *Table) ApplyNotices(notices ...Notice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	changed := false
	for _, n := range notices {
		if n.Kind == NoticeReclaim && n.DeadlineMs <= 0 {
			continue
		}
		notice := domainNotice{seq: n.Seq, noticed: n.Kind == NoticeReclaim, by: now.Add(time.Duration(n.DeadlineMs) * time.Millisecond)}
		if n.Instance != "" {
			changed = t.noticeInstance(n.Instance, notice) || changed
		} else if n.Domain != "" {
			changed = t.noticeDomain(n.Domain, notice) || changed
		}
	}
	if changed {
		t.publish()
	}
}

// noticeInstance attaches a notice to the current incarnation of a name. The
// lock is held.
func (t *Table) noticeInstance(name string, notice domainNotice) bool {
	var current *record
	for _, r := range t.records {
		if r.Name == name && !r.removed && (current == nil || supersedes(r, current)) {
			current = r
		}
	}
	if current == nil {
		if held := t.pending[name]; notice.seq > held.seq {
			t.pending[name] = notice
		}
		return false
	}
	if !current.notice(notice) {
		return false
	}
	current.seq = t.next()
	return true
}

// noticeDomain attaches a notice to every instance of a failure domain and
// keeps it for those that the list names later. The lock is held.
func (t *Table) noticeDomain(domain string, notice domainNotice) bool {
	if held, ok := t.domains[domain]; ok && held.seq >= notice.seq {
		return false
	}
	notice.changed = t.next()
	t.domains[domain] = notice
	for _, r := range t.records {
		if r.Domain == domain && !r.removed && r.notice(notice) {
			r.seq = t.next()
		}
	}
	return true
}

// notice takes over a notice unless a later one is held.
func (r *record) notice(n domainNotice) bool {
	if n.seq <= r.noticeSeq {
		return false
	}
	r.noticeSeq, r.noticed = n.seq, n.noticed
	switch {
	case n.noticed:
		r.leavingBy = n.by
	case !r.announced:
		r.leavingBy = time.Time{}
	}
	return true
}

// Announce takes over an instance's own word that it is leaving, which holds
// until the incarnation or the generation changes, whatever the list says, or
// that it is live, before the lagging list names it.
func (t *Table) Announce(a Announcement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	r := t.records[incarnation{a.Name, a.Address}]
	known := r != nil && !r.removed
	if r == nil {
		r = t.add(Instance{
			Name: a.Name, Address: a.Address, Domain: a.Domain, Region: a.Region, Role: a.Role, State: StateLive,
		}, now)
	}
	if !known {
		r.removed, r.absentSince = false, now
	}
	before := *r
	if !r.takeGeneration(a.Generation) {
		return
	}
	if !a.Live && !r.announced {
		r.announced = true
		if a.LeavingInMs > 0 {
			r.leavingBy = now.Add(time.Duration(a.LeavingInMs) * time.Millisecond)
		}
	}
	if !known || before.generation != r.generation || before.announced != r.announced {
		r.seq = t.next()
		t.publish()
	}
}

package handoff

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"rattantide/internal/journal"
	"rattantide/internal/membership"
)

func (m *Manager) syncLoop(ctx context.Context) {
	for {
		id, ok := m.queue.next()
		if !ok {
			return
		}
		if t := m.trackedRecord(id); t != nil && !m.syncBackup(ctx, t) && ctx.Err() == nil {
			m.retryLater(t)
		}
		m.queue.done(id)
	}
}

// retryLater adds the record to the queue again after an exponential backoff.
func (m *Manager) retryLater(t *trackedRecord) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = 100*time.Millisecond, 5*time.Second
	t.mu.Lock()
	t.failures++
	wait := delay.NextBackOff()
	for range min(t.failures, 16) {
		wait = delay.NextBackOff()
	}
	t.mu.Unlock()
	time.AfterFunc(wait, func() { m.queue.add(t.rec.ID) })
}

// syncBackup updates the backup of a record to the record's current state. It
// reports whether that succeeded; it may be repeated.
func (m *Manager) syncBackup(ctx context.Context, t *trackedRecord) bool {
	status := t.rec.Status()
	switch {
	case status.Moved:
		// The successor maintains its own copy.
		m.untrack(t)
		return true
	case status.State == journal.StateFinished && !t.rec.IsDelivered():
		// The copy must remain available if this daemon is lost, until a caller
		// has the answer.
		return true
	case status.State == journal.StateFinished:
		return m.releaseAllBackups(ctx, t)
	}
	backup, ok := m.ensureBackup(t)
	if !ok {
		return true
	}
	t.mu.Lock()
	hasCopy := t.backup.Name == backup.Name
	upToDate := hasCopy && t.copiedAttempts == len(status.Attempts) && t.copiedEpoch == status.Epoch
	t.mu.Unlock()
	if upToDate {
		return m.releaseFormerBackups(ctx, t)
	}
	if !m.sendCopy(ctx, t, backup, hasCopy) {
		return false
	}
	return m.releaseFormerBackups(ctx, t)
}

// ensureBackup returns the current backup if it is still usable, or the daemon
// that should store the copy instead.
func (m *Manager) ensureBackup(t *trackedRecord) (membership.Daemon, bool) {
	daemons := m.options.Members.Daemons()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range daemons {
		if d.Name == t.backup.Name && d.Address == t.backup.Address && !d.Leaving {
			return d, true
		}
	}
	d, ok := chooseBackup(t.rec.ID, m.options.Self, daemons, t.avoidedBackups)
	if !ok && len(t.avoidedBackups) > 0 {
		t.avoidedBackups = nil
		d, ok = chooseBackup(t.rec.ID, m.options.Self, daemons, nil)
	}
	return d, ok
}

// sendCopy stores the record at a backup. An update omits the request body,
// which the backup already has.
func (m *Manager) sendCopy(ctx context.Context, t *trackedRecord, to membership.Daemon, update bool) bool {
	request := &copyRequest{Copy: t.rec.Copy(false), Holder: m.self, Update: update}
	if update {
		request.Copy.Request.Body = nil
		request.Copy.Request.Blocks = nil
	}
	var response copyResponse
	err := m.call(ctx, to.Address, "", request, &response)
	if err == nil && response.Placement.Epoch > request.Copy.Epoch {
		m.loseRecord(t.rec, response.Placement)
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil || !response.Accepted {
		m.metrics.copyFailures.Inc(1)
		m.options.Logger.Debug("failed to store copy at backup", "request", t.rec.ID, "backup", to.Name, "error", err)
		if t.backup.Name == to.Name {
			t.backup = membership.Daemon{}
		}
		if err != nil || !update {
			if t.avoidedBackups == nil {
				t.avoidedBackups = map[string]bool{}
			}
			t.avoidedBackups[to.Name] = true
		}
		return false
	}
	m.metrics.copies.Inc(1)
	if t.backup.Name != "" && t.backup.Name != to.Name {
		t.formerBackups = append(t.formerBackups, Address{Name: t.backup.Name, Address: t.backup.Address})
	}
	t.backup, t.copiedAttempts, t.copiedEpoch, t.failures = to, len(request.Copy.Attempts), request.Copy.Epoch, 0
	return true
}

// releaseFormerBackups lets former backups replace their copy by a pointer to
// this daemon. A failed call is not repeated, because the copy expires anyway.
func (m *Manager) releaseFormerBackups(ctx context.Context, t *trackedRecord) bool {
	t.mu.Lock()
	former, current := t.formerBackups, t.backup.Name
	t.formerBackups = nil
	t.mu.Unlock()
	for _, a := range former {
		if a.Name != current {
			m.releaseCopy(ctx, t.rec, a)
		}
	}
	return true
}

func (m *Manager) releaseAllBackups(ctx context.Context, t *trackedRecord) bool {
	m.releaseFormerBackups(ctx, t)
	if a := t.backupAddress(); a.Name != "" {
		m.releaseCopy(ctx, t.rec, a)
	}
	m.untrack(t)
	return true
}

func (m *Manager) releaseCopy(ctx context.Context, rec *journal.Record, at Address) {
	request := &releaseRequest{ID: rec.ID, Epoch: rec.Epoch(), Holder: m.self}
	if at.Name == m.self.Name {
		m.backups.release(request, time.Now())
		return
	}
	if err := m.call(ctx, at.Address, "/release", request, nil); err != nil {
		m.options.Logger.Debug("failed to release copy at backup", "request", rec.ID, "backup", at.Name, "error", err)
	}
}

// replaceBackups queues the records whose backup is no longer usable.
func (m *Manager) replaceBackups() {
	usable := map[string]bool{}
	for _, d := range m.options.Members.Daemons() {
		usable[d.Name] = !d.Leaving
	}
	m.mu.Lock()
	all := make([]*trackedRecord, 0, len(m.tracked))
	for _, t := range m.tracked {
		all = append(all, t)
	}
	m.mu.Unlock()
	for _, t := range all {
		if !usable[t.backupAddress().Name] {
			m.queue.add(t.rec.ID)
		}
	}
}

// loseRecord ends a record on this daemon because another daemon holds it, or
// may hold it.
func (m *Manager) loseRecord(rec *journal.Record, placement Placement) {
	if !rec.MarkMoved(placement.Epoch, placement.Holder.Address) {
		return
	}
	m.metrics.lostRecords.Inc(1)
	m.options.Logger.Info("ending the record of a request that another daemon holds or may hold", "request", rec.ID, "holder", placement.Holder.Name, "epoch", placement.Epoch)
	m.worker.Stop(rec)
	if t := m.trackedRecord(rec.ID); t != nil && t.rec == rec {
		m.untrack(t)
	}
}

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
		id, ok := m.queue.take()
		if !ok {
			return
		}
		if t := m.trackedBy(id); t != nil && !m.sync(ctx, t) && ctx.Err() == nil {
			m.retry(t)
		}
		m.queue.done(id)
	}
}

// retry brings the record back into the queue after a growing delay.
func (m *Manager) retry(t *tracked) {
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

// sync brings the backup of a record up to date with the record's present
// state. It reports whether that succeeded; it may be repeated.
func (m *Manager) sync(ctx context.Context, t *tracked) bool {
	status := t.rec.Status()
	switch {
	case status.Moved:
		// The successor keeps its own copy.
		m.forget(t)
		return true
	case status.State == journal.StateFinished && !t.rec.Delivered():
		// The copy must outlive this daemon until a caller has the answer.
		return true
	case status.State == journal.StateFinished:
		return m.releaseAll(ctx, t)
	}
	backup, ok := m.ensureBackup(t)
	if !ok {
		return true
	}
	t.mu.Lock()
	current := t.backup.Name == backup.Name
	fresh := current && t.attempts == len(status.Attempts) && t.epoch == status.Epoch
	t.mu.Unlock()
	if fresh {
		return m.releaseFormer(ctx, t)
	}
	if !m.send(ctx, t, backup, current) {
		return false
	}
	return m.releaseFormer(ctx, t)
}

// ensureBackup returns the daemon that should have the copy.
func (m *Manager) ensureBackup(t *tracked) (membership.Daemon, bool) {
	daemons := m.options.Members.Daemons()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range daemons {
		if d.Name == t.backup.Name && d.Address == t.backup.Address && !d.Leaving {
			return d, true
		}
	}
	d, ok := chooseBackup(t.rec.ID, m.options.Self, daemons, t.avoid)
	if !ok && len(t.avoid) > 0 {
		t.avoid = nil
		d, ok = chooseBackup(t.rec.ID, m.options.Self, daemons, nil)
	}
	return d, ok
}

// send stores the record at a backup: as an update when it has the body.
func (m *Manager) send(ctx context.Context, t *tracked, to membership.Daemon, update bool) bool {
	request := &copyRequest{Copy: t.rec.Copy(false), Holder: m.self, Update: update}
	if update {
		request.Copy.Request.Body = nil
		request.Copy.Request.Blocks = nil
	}
	var answer copyAnswer
	err := m.call(ctx, to.Address, "", request, &answer)
	if err == nil && answer.Where.Epoch > request.Copy.Epoch {
		m.lose(t.rec, answer.Where)
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil || !answer.Accepted {
		m.metrics.copyFailures.Inc(1)
		m.options.Logger.Debug("copy not stored", "request", t.rec.ID, "backup", to.Name, "error", err)
		if t.backup.Name == to.Name {
			t.backup = membership.Daemon{}
		}
		if err != nil || !update {
			if t.avoid == nil {
				t.avoid = map[string]bool{}
			}
			t.avoid[to.Name] = true
		}
		return false
	}
	m.metrics.copies.Inc(1)
	if t.backup.Name != "" && t.backup.Name != to.Name {
		t.former = append(t.former, Address{Name: t.backup.Name, Address: t.backup.Address})
	}
	t.backup, t.attempts, t.epoch, t.failures = to, len(request.Copy.Attempts), request.Copy.Epoch, 0
	return true
}

// releaseFormer lets former backups keep no more than a pointer to this daemon.
// A failure is not repeated: what they have expires.
func (m *Manager) releaseFormer(ctx context.Context, t *tracked) bool {
	t.mu.Lock()
	former, current := t.former, t.backup.Name
	t.former = nil
	t.mu.Unlock()
	for _, a := range former {
		if a.Name != current {
			m.release(ctx, t.rec, a)
		}
	}
	return true
}

func (m *Manager) releaseAll(ctx context.Context, t *tracked) bool {
	m.releaseFormer(ctx, t)
	if a := t.backupAddress(); a.Name != "" {
		m.release(ctx, t.rec, a)
	}
	m.forget(t)
	return true
}

func (m *Manager) release(ctx context.Context, rec *journal.Record, at Address) {
	request := &releaseRequest{ID: rec.ID, Epoch: rec.Epoch(), Holder: m.self}
	if at.Name == m.self.Name {
		m.backups.release(request, time.Now())
		return
	}
	if err := m.call(ctx, at.Address, "/release", request, nil); err != nil {
		m.options.Logger.Debug("copy not released", "request", rec.ID, "backup", at.Name, "error", err)
	}
}

// replaceBackups queues the records whose backup is no longer usable.
func (m *Manager) replaceBackups() {
	usable := map[string]bool{}
	for _, d := range m.options.Members.Daemons() {
		usable[d.Name] = !d.Leaving
	}
	m.mu.Lock()
	all := make([]*tracked, 0, len(m.tracked))
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

// lose ends a record here because another daemon holds it.
func (m *Manager) lose(rec *journal.Record, where Where) {
	if !rec.Move(where.Epoch, where.Holder.Address) {
		return
	}
	m.metrics.lost.Inc(1)
	m.options.Logger.Info("another daemon holds the request", "request", rec.ID, "holder", where.Holder.Name, "epoch", where.Epoch)
	m.worker.Stop(rec)
	if t := m.trackedBy(rec.ID); t != nil && t.rec == rec {
		m.forget(t)
	}
}

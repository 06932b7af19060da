package handoff

import (
	"context"

	"golang.org/x/sync/errgroup"

	"rattantide/internal/journal"
)

// MaySend implements server.Handoff. Without a freeze and a handoff in
// progress it costs a reading of the clock and two atomic loads.
func (m *Manager) MaySend(ctx context.Context, rec *journal.Record) bool {
	for {
		if m.pulse.late() {
			m.beat()
		}
		wait := m.gate.Load()
		if wait == nil && m.paused.Load() > 0 {
			if held, ok := m.holds.Load(rec.ID); ok {
				ended := held.(chan struct{})
				wait = &ended
			}
		}
		if wait == nil {
			return !rec.Moved()
		}
		select {
		case <-*wait:
		case <-ctx.Done():
			return false
		}
	}
}

// beat closes the gate when this process was stopped for a while.
func (m *Manager) beat() {
	if !m.pulse.beat() {
		return
	}
	m.metrics.freezes.Inc(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freezes++
	if m.gate.Load() != nil {
		return
	}
	gate := make(chan struct{})
	m.gate.Store(&gate)
	m.options.Logger.Warn("the process was stopped; verifying its records")
	go m.verifyAll(gate)
}

// verifyAll verifies all records held here and opens the gate. A further freeze
// meanwhile repeats it.
func (m *Manager) verifyAll(gate chan struct{}) {
	for {
		m.mu.Lock()
		round := m.freezes
		m.mu.Unlock()
		var group errgroup.Group
		group.SetLimit(m.options.Parallel)
		byBackup := map[Address][]*journal.Record{}
		for _, rec := range m.options.Journal.Held() {
			var backup Address
			if t := m.trackedBy(rec.ID); t != nil {
				backup = t.backupAddress()
			}
			byBackup[backup] = append(byBackup[backup], rec)
		}
		for backup, records := range byBackup {
			group.Go(func() error {
				m.verifyAt(backup, records)
				return nil
			})
		}
		_ = group.Wait()
		m.mu.Lock()
		if m.freezes == round {
			m.gate.Store(nil)
			m.mu.Unlock()
			close(gate)
			return
		}
		m.mu.Unlock()
	}
}

// verifyAt verifies records with one backup in one call, and those of which it
// knows nothing one by one.
func (m *Manager) verifyAt(backup Address, records []*journal.Record) {
	ctx := context.Background()
	var answer checkAnswer
	if backup.Address != "" {
		request := &checkRequest{}
		for _, rec := range records {
			request.IDs = append(request.IDs, rec.ID)
		}
		if err := m.call(ctx, backup.Address, "/check", request, &answer); err != nil {
			answer.Records = nil
		}
	}
	for _, rec := range records {
		if where, ok := answer.Records[rec.ID]; ok {
			m.settle(rec, where)
			continue
		}
		m.verifyBySearch(ctx, rec)
	}
}

// Verify implements server.Handoff.
func (m *Manager) Verify(ctx context.Context, rec *journal.Record) bool {
	if t := m.trackedBy(rec.ID); t != nil {
		if backup := t.backupAddress(); backup.Address != "" {
			var answer checkAnswer
			err := m.call(ctx, backup.Address, "/check", &checkRequest{IDs: []string{rec.ID}}, &answer)
			if where, ok := answer.Records[rec.ID]; err == nil && ok {
				return m.settle(rec, where)
			}
		}
	}
	return m.verifyBySearch(ctx, rec)
}

// settle compares what a backup says with the record; it reports whether this
// daemon is still the holder.
func (m *Manager) settle(rec *journal.Record, where Where) bool {
	if where.Epoch > rec.Epoch() && where.Holder != m.self {
		m.lose(rec, where)
	}
	return !rec.Moved()
}

// verifyBySearch asks the daemons that may have a copy. When none of them
// answers although there are others, this daemon may be cut off and another
// one may hold the record, so that it stops.
func (m *Manager) verifyBySearch(ctx context.Context, rec *journal.Record) bool {
	found, answered := m.search(ctx, rec.ID)
	if found.Role != RoleNone {
		return m.settle(rec, found)
	}
	if answered > 0 || m.alone() {
		return !rec.Moved()
	}
	m.lose(rec, Where{Epoch: rec.Epoch() + 1})
	return false
}

func (m *Manager) alone() bool {
	for _, d := range m.options.Members.AllDaemons() {
		if d.Name != m.options.Self.Name {
			return false
		}
	}
	return true
}

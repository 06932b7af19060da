package handoff

import (
	"context"

	"golang.org/x/sync/errgroup"

	"rattantide/internal/journal"
)

// CanSend implements server.Handoff. It blocks while it is uncertain whether
// this daemon holds the record. Without a freeze or a handoff in progress, it
// costs one clock reading and two atomic loads.
func (m *Manager) CanSend(ctx context.Context, rec *journal.Record) bool {
	for {
		if m.freezeDetector.isOverdue() {
			m.checkFreeze()
		}
		wait := m.verifyGate.Load()
		if wait == nil && m.handoverCount.Load() > 0 {
			if value, ok := m.handoverDone.Load(rec.ID); ok {
				done := value.(chan struct{})
				wait = &done
			}
		}
		if wait == nil {
			return !rec.HasMoved()
		}
		select {
		case <-*wait:
		case <-ctx.Done():
			return false
		}
	}
}

// checkFreeze starts a verification of all records if this process was frozen.
// CanSend blocks until the verification ends.
func (m *Manager) checkFreeze() {
	if !m.freezeDetector.beat() {
		return
	}
	m.metrics.freezes.Inc(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.freezeCount++
	if m.verifyGate.Load() != nil {
		return
	}
	gate := make(chan struct{})
	m.verifyGate.Store(&gate)
	m.options.Logger.Warn("process was frozen for longer than the freeze threshold; verifying that this daemon still holds its records")
	go m.verifyAll(gate)
}

// verifyAll verifies all records held by this daemon and then opens the gate.
// If another freeze occurs meanwhile, it starts again.
func (m *Manager) verifyAll(gate chan struct{}) {
	for {
		m.mu.Lock()
		freezes := m.freezeCount
		m.mu.Unlock()
		var group errgroup.Group
		group.SetLimit(m.options.Concurrency)
		byBackup := map[Address][]*journal.Record{}
		for _, rec := range m.options.Journal.OpenRecords() {
			var backup Address
			if t := m.trackedRecord(rec.ID); t != nil {
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
		if m.freezeCount == freezes {
			m.verifyGate.Store(nil)
			m.mu.Unlock()
			close(gate)
			return
		}
		m.mu.Unlock()
	}
}

// verifyAt verifies records with their backup in one call. Records that the
// backup does not know are verified one by one by a search.
func (m *Manager) verifyAt(backup Address, records []*journal.Record) {
	ctx := context.Background()
	var response checkResponse
	if backup.Address != "" {
		request := &checkRequest{}
		for _, rec := range records {
			request.IDs = append(request.IDs, rec.ID)
		}
		if err := m.call(ctx, backup.Address, "/check", request, &response); err != nil {
			response.Records = nil
		}
	}
	for _, rec := range records {
		if placement, ok := response.Records[rec.ID]; ok {
			m.reconcile(rec, placement)
			continue
		}
		m.verifyBySearch(ctx, rec)
	}
}

// Verify implements server.Handoff.
func (m *Manager) Verify(ctx context.Context, rec *journal.Record) bool {
	if t := m.trackedRecord(rec.ID); t != nil {
		if backup := t.backupAddress(); backup.Address != "" {
			var response checkResponse
			err := m.call(ctx, backup.Address, "/check", &checkRequest{IDs: []string{rec.ID}}, &response)
			if placement, ok := response.Records[rec.ID]; err == nil && ok {
				return m.reconcile(rec, placement)
			}
		}
	}
	return m.verifyBySearch(ctx, rec)
}

// reconcile compares a reported placement with the record and ends the record
// if another daemon holds it under a higher epoch. It reports whether this
// daemon is still the holder.
func (m *Manager) reconcile(rec *journal.Record, placement Placement) bool {
	if placement.Epoch > rec.Epoch() && placement.Holder != m.self {
		m.loseRecord(rec, placement)
	}
	return !rec.HasMoved()
}

// verifyBySearch asks the daemons that may have a copy. When there are other
// daemons and none answers, this daemon may be partitioned from the network and
// another daemon may hold the record, so the record is ended.
func (m *Manager) verifyBySearch(ctx context.Context, rec *journal.Record) bool {
	found, answered := m.searchPlacement(ctx, rec.ID)
	if found.Role != RoleNone {
		return m.reconcile(rec, found)
	}
	if answered > 0 || m.isAlone() {
		return !rec.HasMoved()
	}
	m.loseRecord(rec, Placement{Epoch: rec.Epoch() + 1})
	return false
}

func (m *Manager) isAlone() bool {
	for _, d := range m.options.Members.AllDaemons() {
		if d.Name != m.options.Self.Name {
			return false
		}
	}
	return true
}

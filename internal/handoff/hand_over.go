package handoff

import (
	"context"
	"net"
	"sort"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"rattantide/internal/journal"
	"rattantide/internal/membership"
	"rattantide/internal/problem"
)

// Report sums up a handoff.
type Report struct {
	HandedOver int
	// Kept are the records for which no successor was found in time; this
	// daemon remains their holder.
	Kept int
}

// HandOver hands all records that callers wait for over to other daemons before the deadline,
// those that are longest to recompute first. It returns when each record has a
// successor that acknowledged it, or none could be found. Afterwards this
// daemon takes no records and no copies.
func (m *Manager) HandOver(ctx context.Context, deadline time.Time) Report {
	m.beginLeaving()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	open := m.options.Journal.Held()
	cost := make(map[*journal.Record]int64, len(open))
	for _, rec := range open {
		cost[rec] = int64(rec.PromptTokens) + rec.Last()
	}
	sort.Slice(open, func(i, j int) bool { return cost[open[i]] > cost[open[j]] })
	to := &targets{self: m.options.Self, members: m.options.Members, given: map[string]int{}}
	done := make([]bool, len(open))
	var group errgroup.Group
	group.SetLimit(m.options.Parallel)
	for i, rec := range open {
		group.Go(func() error {
			done[i] = m.handOverRecord(ctx, rec, to)
			return nil
		})
	}
	_ = group.Wait()
	m.forwardCopies(ctx)
	var report Report
	for i := range open {
		if done[i] {
			report.HandedOver++
		} else {
			report.Kept++
		}
	}
	m.metrics.handedOver.Inc(int64(report.HandedOver))
	m.metrics.kept.Inc(int64(report.Kept))
	m.options.Logger.Info("records handed over", "records", report.HandedOver, "kept", report.Kept)
	return report
}

// handOverRecord tries successors until one acknowledges the record. Meanwhile
// nothing is sent to the record's callers, because the successor is the holder
// from the moment of its claim.
func (m *Manager) handOverRecord(ctx context.Context, rec *journal.Record, to *targets) bool {
	resolved := make(chan struct{})
	m.holds.Store(rec.ID, resolved)
	m.paused.Add(1)
	defer func() {
		m.paused.Add(-1)
		m.holds.Delete(rec.ID)
		close(resolved)
	}()
	var backup Address
	if t := m.trackedBy(rec.ID); t != nil {
		backup = t.backupAddress()
	}
	tried := map[string]bool{}
	for ctx.Err() == nil {
		successor, ok := to.next(rec.ID, backup.Name, tried)
		if !ok {
			return false
		}
		tried[successor.Name] = true
		request := &adoptRequest{Copy: rec.Copy(true), Epoch: rec.Epoch() + 1, From: m.self, Backup: backup}
		var answer adoptAnswer
		err := m.call(ctx, successor.Address, "/adopt", request, &answer)
		switch {
		case err == nil && answer.Adopted:
			m.leave(rec, request.Epoch, successor)
			return true
		case err == nil, refused(err):
			m.options.Logger.Debug("record not adopted", "request", rec.ID, "successor", successor.Name, "reason", answer.Reason, "error", err)
		default:
			if m.resolve(ctx, rec, request.Epoch, successor, backup) {
				return true
			}
		}
		if rec.Moved() || rec.Delivered() {
			return true
		}
	}
	return false
}

// forwardCopies stores the copies that are kept here at other daemons. Their
// holders do the same when they learn that this daemon leaves, but a holder may
// be gone already.
func (m *Manager) forwardCopies(ctx context.Context) {
	daemons := m.options.Members.Daemons()
	byName := map[string]membership.Daemon{}
	for _, d := range daemons {
		byName[d.Name] = d
	}
	var group errgroup.Group
	group.SetLimit(m.options.Parallel)
	for _, request := range m.backups.copies() {
		group.Go(func() error {
			holder := byName[request.Holder.Name]
			holder.Name = request.Holder.Name
			avoid := map[string]bool{m.self.Name: true}
			for ctx.Err() == nil {
				to, ok := chooseBackup(request.Copy.Request.ID, holder, daemons, avoid)
				if !ok {
					return nil
				}
				var answer copyAnswer
				if err := m.call(ctx, to.Address, "", request, &answer); err == nil {
					// From now on the other daemon alone grants epochs.
					m.backups.release(&releaseRequest{ID: request.Copy.Request.ID, Epoch: request.Copy.Epoch, Holder: request.Holder}, time.Now())
					return nil
				}
				avoid[to.Name] = true
			}
			return nil
		})
	}
	_ = group.Wait()
}

// leave ends a record here in favour of its successor.
func (m *Manager) leave(rec *journal.Record, epoch int64, successor membership.Daemon) {
	rec.Move(epoch, successor.Address)
	m.worker.Stop(rec)
	if t := m.trackedBy(rec.ID); t != nil {
		m.forget(t)
	}
}

// resolve finds out what became of an adoption whose answer was lost. It
// reports whether the successor has the record; otherwise this daemon holds it
// under an epoch that the successor can no longer get.
func (m *Manager) resolve(ctx context.Context, rec *journal.Record, epoch int64, successor membership.Daemon, backup Address) bool {
	at := Where{Role: RolePointer, Epoch: epoch, Holder: Address{Name: successor.Name, Address: successor.Address}}
	if now := m.follow(ctx, rec.ID, at); now.Role == RoleHolder {
		m.leave(rec, now.Epoch, membership.Daemon{Name: now.Holder.Name, Address: now.Holder.Address})
		return true
	}
	if backup.Name != "" && backup.Name != successor.Name {
		claim := &claimRequest{ID: rec.ID, Epoch: epoch + 1, Holder: m.self}
		answer, err := m.claimAt(ctx, backup, claim)
		if err == nil && !answer.Granted && answer.Where.Epoch > epoch {
			m.lose(rec, answer.Where)
			return true
		}
	}
	rec.RaiseEpoch(epoch + 1)
	return false
}

// refused reports whether a call certainly had no effect at the peer.
func refused(err error) bool {
	var answered *problem.Problem
	if errors.As(err, &answered) {
		return answered.Status < 500 || answered.Code == problem.CodeLeaving
	}
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

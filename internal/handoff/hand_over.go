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

// Report is the result of HandOver. It counts the records that were open at the start.
type Report struct {
	// HandedOver counts the records that now have another holder or whose
	// answer was delivered.
	HandedOver int
	// NotHandedOver counts the records for which no successor was found in
	// time; this daemon remains their holder.
	NotHandedOver int
}

// HandOver hands all open records over to other daemons, the most expensive to
// recompute first, until the deadline. A record is open while it is unfinished
// or has waiting callers. HandOver also forwards the copies that this daemon
// stores for others. It returns once each record was acknowledged by a successor
// or has no further possible successor, and the copies are forwarded. From the
// call on, this daemon accepts no more records and copies.
func (m *Manager) HandOver(ctx context.Context, deadline time.Time) Report {
	m.stopAdmitting()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	records := m.options.Journal.OpenRecords()
	cost := make(map[*journal.Record]int64, len(records))
	for _, rec := range records {
		cost[rec] = int64(rec.PromptTokens) + rec.LastEvent()
	}
	sort.Slice(records, func(i, j int) bool { return cost[records[i]] > cost[records[j]] })
	picker := &successorPicker{self: m.options.Self, members: m.options.Members, assigned: map[string]int{}}
	done := make([]bool, len(records))
	var group errgroup.Group
	group.SetLimit(m.options.Concurrency)
	for i, rec := range records {
		group.Go(func() error {
			done[i] = m.handOverRecord(ctx, rec, picker)
			return nil
		})
	}
	_ = group.Wait()
	m.forwardCopies(ctx)
	var report Report
	for i := range records {
		if done[i] {
			report.HandedOver++
		} else {
			report.NotHandedOver++
		}
	}
	m.metrics.handedOver.Inc(int64(report.HandedOver))
	m.metrics.notHandedOver.Inc(int64(report.NotHandedOver))
	m.options.Logger.Info("records handed over", "records", report.HandedOver, "kept", report.NotHandedOver)
	return report
}

// handOverRecord offers the record to successors until one acknowledges it.
// Meanwhile nothing is sent to the record's callers, because the successor is
// the holder from the moment its claim is granted.
func (m *Manager) handOverRecord(ctx context.Context, rec *journal.Record, picker *successorPicker) bool {
	done := make(chan struct{})
	m.handoverDone.Store(rec.ID, done)
	m.handoverCount.Add(1)
	defer func() {
		m.handoverCount.Add(-1)
		m.handoverDone.Delete(rec.ID)
		close(done)
	}()
	var backup Address
	if t := m.trackedRecord(rec.ID); t != nil {
		backup = t.backupAddress()
	}
	tried := map[string]bool{}
	for ctx.Err() == nil {
		successor, ok := picker.next(rec.ID, backup.Name, tried)
		if !ok {
			return false
		}
		tried[successor.Name] = true
		request := &adoptRequest{Copy: rec.Copy(true), Epoch: rec.Epoch() + 1, From: m.self, Backup: backup}
		var response adoptResponse
		err := m.call(ctx, successor.Address, "/adopt", request, &response)
		switch {
		case err == nil && response.Adopted:
			m.moveToSuccessor(rec, request.Epoch, successor)
			return true
		case err == nil, hadNoEffect(err):
			m.options.Logger.Debug("record not adopted", "request", rec.ID, "successor", successor.Name, "reason", response.Reason, "error", err)
		default:
			if m.resolveAdoption(ctx, rec, request.Epoch, successor, backup) {
				return true
			}
		}
		if rec.HasMoved() || rec.IsDelivered() {
			return true
		}
	}
	return false
}

// forwardCopies stores the copies held by this daemon at other daemons. Their
// holders also replace the backup when they learn that this daemon is leaving,
// but a holder may itself be gone.
func (m *Manager) forwardCopies(ctx context.Context) {
	daemons := m.options.Members.Daemons()
	byName := map[string]membership.Daemon{}
	for _, d := range daemons {
		byName[d.Name] = d
	}
	var group errgroup.Group
	group.SetLimit(m.options.Concurrency)
	for _, request := range m.backups.copyRequests() {
		group.Go(func() error {
			holder := byName[request.Holder.Name]
			holder.Name = request.Holder.Name
			avoid := map[string]bool{m.self.Name: true}
			for ctx.Err() == nil {
				to, ok := chooseBackup(request.Copy.Request.ID, holder, daemons, avoid)
				if !ok {
					return nil
				}
				var response copyResponse
				if err := m.call(ctx, to.Address, "", request, &response); err == nil {
					// From now on, only the other daemon grants epochs.
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

// moveToSuccessor ends a record on this daemon after its successor has taken it
// over.
func (m *Manager) moveToSuccessor(rec *journal.Record, epoch int64, successor membership.Daemon) {
	rec.MarkMoved(epoch, successor.Address)
	m.worker.Stop(rec)
	if t := m.trackedRecord(rec.ID); t != nil {
		m.untrack(t)
	}
}

// resolveAdoption determines the result of an adoption whose response was lost.
// It returns true when another daemon holds the record; otherwise this daemon
// still holds it, under an epoch too high for the successor to claim.
func (m *Manager) resolveAdoption(ctx context.Context, rec *journal.Record, epoch int64, successor membership.Daemon, backup Address) bool {
	at := Placement{Role: RolePointer, Epoch: epoch, Holder: Address{Name: successor.Name, Address: successor.Address}}
	if now := m.followHolder(ctx, rec.ID, at); now.Role == RoleHolder {
		m.moveToSuccessor(rec, now.Epoch, membership.Daemon{Name: now.Holder.Name, Address: now.Holder.Address})
		return true
	}
	if backup.Name != "" && backup.Name != successor.Name {
		claim := &claimRequest{ID: rec.ID, Epoch: epoch + 1, Holder: m.self}
		response, err := m.claimAt(ctx, backup, claim)
		if err == nil && !response.Granted && response.Placement.Epoch > epoch {
			m.loseRecord(rec, response.Placement)
			return true
		}
	}
	rec.RaiseEpoch(epoch + 1)
	return false
}

// hadNoEffect reports whether the error shows that a call had no effect at the
// peer.
func hadNoEffect(err error) bool {
	var peerProblem *problem.Problem
	if errors.As(err, &peerProblem) {
		return peerProblem.Status < 500 || peerProblem.Code == problem.CodeLeaving
	}
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

package handoff

import (
	"context"
	"net/http"
	"sync"

	"github.com/juju/errors"

	"rattantide/internal/journal"
	"rattantide/internal/problem"
)

// maxHops bounds how many times a record is followed to another holder.
const maxHops = 4

// errClaimLost means that the claimed epoch was granted to another daemon.
const errClaimLost = errors.ConstError("another daemon took the record over")

// Locate implements server.Handoff. It returns the live holder of a record. If
// the holder is gone or does not answer within HolderTimeout, Locate takes the
// record over. Concurrent calls for the same record share one search. The error
// wraps a *problem.Problem, unless ctx ended or the backup gave no usable response to
// the claim of the next epoch.
func (m *Manager) Locate(ctx context.Context, id string) (journal.Location, error) {
	// The search continues after a caller's context ends, because other callers
	// may share it.
	resultCh := m.locateGroup.DoChan(id, func() (any, error) {
		return m.locate(context.WithoutCancel(ctx), id)
	})
	select {
	case result := <-resultCh:
		return result.Val.(journal.Location), result.Err
	case <-ctx.Done():
		return journal.Location{}, ctx.Err()
	}
}

func (m *Manager) locate(ctx context.Context, id string) (journal.Location, error) {
	for range maxHops {
		if rec := m.options.Journal.Get(id); rec != nil && !rec.HasMoved() {
			return journal.Location{Record: rec}, nil
		}
		result, answered := m.searchWithLocal(ctx, id)
		if result.Role == RoleNone && answered == 0 && !m.isAlone() {
			return journal.Location{}, problem.NewExecutionUnknown(http.StatusServiceUnavailable, problem.CodeInternal,
				"no other daemon answers").WithRequestID(id).WithRetryAfter(m.options.CallTimeout)
		}
		if result.Role == RoleNone {
			return journal.Location{}, problem.New(http.StatusNotFound, problem.CodeNotFound,
				"no request is known under this identifier").WithRequestID(id)
		}
		holder := m.followHolder(ctx, id, result.Placement)
		if holder.Role == RoleHolder {
			return journal.Location{Holder: holder.Holder.Address, Workspace: holder.Workspace}, nil
		}
		rec, err := m.takeOver(ctx, id, holder, result)
		if err == nil {
			return journal.Location{Record: rec}, nil
		}
		if !errors.Is(err, errClaimLost) {
			return journal.Location{}, err
		}
	}
	return journal.Location{}, problem.NewExecutionUnknown(http.StatusServiceUnavailable, problem.CodeInternal,
		"the request is moving between daemons").WithRequestID(id).WithRetryAfter(m.options.CallTimeout)
}

// followHolder asks the holder named by at whether it holds the record, and then
// the daemons to which the record moved from there. The result has RoleHolder if
// one of them holds it; otherwise it is a pointer with the highest reported epoch.
func (m *Manager) followHolder(ctx context.Context, id string, at Placement) Placement {
	for range maxHops {
		if at.Holder.Address == m.self.Address {
			return Placement{Role: RolePointer, Epoch: at.Epoch, Holder: at.Holder}
		}
		ctx, cancel := context.WithTimeout(ctx, m.options.HolderTimeout)
		var response Placement
		err := m.options.Peers.Call(ctx, http.MethodGet, at.Holder.Address, recordsPath+"/"+id, nil, &response)
		cancel()
		if err == nil && response.Role == RoleHolder && response.Epoch >= at.Epoch {
			return response
		}
		if err != nil || response.Epoch <= at.Epoch || response.Holder.Address == "" {
			return Placement{Role: RolePointer, Epoch: at.Epoch, Holder: at.Holder}
		}
		at = response
	}
	return Placement{Role: RolePointer, Epoch: at.Epoch, Holder: at.Holder}
}

// takeOver claims the next epoch at the backup, and imports and starts the
// record.
func (m *Manager) takeOver(ctx context.Context, id string, lastKnown Placement, result searchResult) (*journal.Record, error) {
	errNoCopy := problem.NewExecutionUnknown(http.StatusNotFound, problem.CodeNotFound,
		"the daemon that held the request is gone and there is no copy").WithRequestID(id)
	if result.backup.Name == "" {
		return nil, errNoCopy
	}
	if !m.tryAdmit() {
		return nil, leavingProblem()
	}
	defer m.admitMu.RUnlock()
	request := &claimRequest{ID: id, Epoch: max(lastKnown.Epoch, result.Epoch) + 1, Holder: m.self, IncludeCopy: true}
	response, err := m.claimAt(ctx, result.backup, request)
	switch {
	case err != nil:
		return nil, errors.Trace(err)
	case !response.Granted:
		return nil, errClaimLost
	case response.Copy == nil:
		return nil, errNoCopy
	}
	rec, err := m.options.Journal.Import(response.Copy, request.Epoch)
	if errors.Is(err, journal.ErrExists) {
		return nil, errClaimLost
	}
	if err != nil {
		return nil, problem.NewExecutionUnknown(http.StatusServiceUnavailable, problem.CodeOverloaded,
			"the memory for requests is in use").WithRequestID(id).WithRetryAfter(m.options.CallTimeout)
	}
	m.metrics.takeovers.Inc(1)
	m.options.Logger.Info("request taken over", "request", id, "workspace", rec.Workspace, "class", rec.Class,
		"former", lastKnown.Holder.Name, "epoch", request.Epoch)
	m.startImported(rec, result.backup)
	return rec, nil
}

// startImported tracks and starts a record received from another daemon.
// grantedBy is the backup that granted its epoch, if any; it may have a copy
// that must be replaced at another daemon.
func (m *Manager) startImported(rec *journal.Record, grantedBy Address) *trackedRecord {
	t := m.track(rec)
	t.mu.Lock()
	if grantedBy.Name != "" {
		t.formerBackups = append(t.formerBackups, grantedBy)
	}
	t.mu.Unlock()
	m.worker.Start(rec)
	return t
}

// claimAt claims an epoch at a backup, which may be this daemon.
func (m *Manager) claimAt(ctx context.Context, backup Address, request *claimRequest) (claimResponse, error) {
	if backup.Name == m.self.Name {
		return m.claim(request), nil
	}
	var response claimResponse
	err := m.call(ctx, backup.Address, "/claim", request, &response)
	return response, err
}

// claim decides, as the backup, whether to grant an epoch. It notifies the
// previous holder if it was replaced without having requested that.
func (m *Manager) claim(request *claimRequest) claimResponse {
	response, previous := m.backups.claim(request)
	if previous.Address != "" && previous != request.Holder && !request.RequestedByHolder {
		moved := &movedRequest{ID: request.ID, Placement: Placement{Role: RolePointer, Epoch: request.Epoch, Holder: request.Holder}}
		if previous == m.self {
			m.handleMoved(moved)
		} else {
			go func() {
				if err := m.call(context.Background(), previous.Address, "/moved", moved, nil); err != nil {
					m.options.Logger.Debug("failed to notify previous holder", "request", request.ID, "holder", previous.Name, "error", err)
				}
			}()
		}
	}
	return response
}

// searchWithLocal adds this daemon's own knowledge of a record to the result of
// a search among peers. It also returns the number of peers that answered.
func (m *Manager) searchWithLocal(ctx context.Context, id string) (searchResult, int) {
	result, answered := m.searchPeers(ctx, id)
	result.add(m.self, m.backups.placement(id))
	if rec := m.options.Journal.Get(id); rec != nil && rec.HasMoved() {
		result.add(m.self, movedPlacement(rec))
	}
	return result, answered
}

// searchPlacement returns the best known placement of a record among peers, and
// the number of peers that answered.
func (m *Manager) searchPlacement(ctx context.Context, id string) (Placement, int) {
	result, answered := m.searchPeers(ctx, id)
	return result.Placement, answered
}

// searchPeers asks the daemons that may have a record or a copy of it. It also
// returns the number of daemons that answered.
func (m *Manager) searchPeers(ctx context.Context, id string) (searchResult, int) {
	var (
		result   searchResult
		answered int
		mu       sync.Mutex
		group    sync.WaitGroup
	)
	for _, d := range backupCandidates(id, m.options.Self, m.options.Members.AllDaemons()) {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, m.options.CallTimeout)
			defer cancel()
			var response Placement
			if err := m.options.Peers.Call(ctx, http.MethodGet, d.Address, recordsPath+"/"+id, nil, &response); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answered++
			result.add(Address{Name: d.Name, Address: d.Address}, response)
		})
	}
	group.Wait()
	return result, answered
}

// adoptOrphans takes over the records of stored copies whose holder is no
// longer a known daemon and does not answer.
func (m *Manager) adoptOrphans(ctx context.Context) {
	known := map[Address]bool{}
	for _, d := range m.options.Members.AllDaemons() {
		known[Address{Name: d.Name, Address: d.Address}] = true
	}
	orphans := m.backups.orphans(func(a Address) bool { return a == m.self || known[a] })
	limit := make(chan struct{}, m.options.Concurrency)
	var group sync.WaitGroup
	for id, placement := range orphans {
		if ctx.Err() != nil {
			break
		}
		limit <- struct{}{}
		group.Go(func() {
			defer func() { <-limit }()
			if last := m.followHolder(ctx, id, placement); last.Role != RoleHolder {
				_, err, _ := m.locateGroup.Do(id, func() (any, error) { return m.locate(ctx, id) })
				if err != nil {
					m.options.Logger.Warn("failed to take over the request of a lost daemon", "request", id, "error", err)
				}
			}
		})
	}
	group.Wait()
}

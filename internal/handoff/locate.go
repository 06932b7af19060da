package handoff

import (
	"context"
	"net/http"
	"sync"

	"github.com/juju/errors"

	"rattantide/internal/journal"
	"rattantide/internal/problem"
)

// maxHops bounds how often a record is followed to another holder.
const maxHops = 4

// errRaced means that another daemon got the epoch that was claimed.
const errRaced = errors.ConstError("another daemon took the record over")

// Locate implements server.Handoff. It returns the living holder of a record,
// or takes the record over when its holder is gone or does not answer in time.
// Concurrent calls for the same record share one search.
func (m *Manager) Locate(ctx context.Context, id string) (journal.Location, error) {
	// The search outlives a caller that gives up, since others may share it.
	found := m.locates.DoChan(id, func() (any, error) {
		return m.locate(context.WithoutCancel(ctx), id)
	})
	select {
	case result := <-found:
		return result.Val.(journal.Location), result.Err
	case <-ctx.Done():
		return journal.Location{}, ctx.Err()
	}
}

func (m *Manager) locate(ctx context.Context, id string) (journal.Location, error) {
	for range maxHops {
		if rec := m.options.Journal.Get(id); rec != nil && !rec.Moved() {
			return journal.Location{Record: rec}, nil
		}
		found, answered := m.lookAround(ctx, id)
		if found.Role == RoleNone && answered == 0 && !m.alone() {
			return journal.Location{}, problem.Unknown(http.StatusServiceUnavailable, problem.CodeInternal,
				"no other daemon answers").WithRequestID(id).WithRetryAfter(m.options.CallTimeout)
		}
		if found.Role == RoleNone {
			return journal.Location{}, problem.New(http.StatusNotFound, problem.CodeNotFound,
				"no request is known under this identifier").WithRequestID(id)
		}
		holder := m.follow(ctx, id, found.Where)
		if holder.Role == RoleHolder {
			return journal.Location{Holder: holder.Holder.Address, Workspace: holder.Workspace}, nil
		}
		rec, err := m.takeOver(ctx, id, holder, found)
		if err == nil {
			return journal.Location{Record: rec}, nil
		}
		if !errors.Is(err, errRaced) {
			return journal.Location{}, err
		}
	}
	return journal.Location{}, problem.Unknown(http.StatusServiceUnavailable, problem.CodeInternal,
		"the request is moving between daemons").WithRequestID(id).WithRetryAfter(m.options.CallTimeout)
}

// follow asks the holder, and those it moved the record to, whether they hold
// it. The result has RoleHolder when one does; otherwise it has the highest
// epoch that was heard of.
func (m *Manager) follow(ctx context.Context, id string, at Where) Where {
	for range maxHops {
		if at.Holder.Address == m.self.Address {
			return Where{Role: RolePointer, Epoch: at.Epoch, Holder: at.Holder}
		}
		ctx, cancel := context.WithTimeout(ctx, m.options.HolderTimeout)
		var answer Where
		err := m.options.Peers.Call(ctx, http.MethodGet, at.Holder.Address, path+"/"+id, nil, &answer)
		cancel()
		if err == nil && answer.Role == RoleHolder && answer.Epoch >= at.Epoch {
			return answer
		}
		if err != nil || answer.Epoch <= at.Epoch || answer.Holder.Address == "" {
			return Where{Role: RolePointer, Epoch: at.Epoch, Holder: at.Holder}
		}
		at = answer
	}
	return Where{Role: RolePointer, Epoch: at.Epoch, Holder: at.Holder}
}

// takeOver claims the next epoch at the backup and starts the record here.
func (m *Manager) takeOver(ctx context.Context, id string, last Where, found sighting) (*journal.Record, error) {
	gone := problem.Unknown(http.StatusNotFound, problem.CodeNotFound,
		"the daemon that held the request is gone and there is no copy").WithRequestID(id)
	if found.backup.Name == "" {
		return nil, gone
	}
	if !m.admit() {
		return nil, leavingProblem()
	}
	defer m.entry.RUnlock()
	request := &claimRequest{ID: id, Epoch: max(last.Epoch, found.Epoch) + 1, Holder: m.self, Want: true}
	answer, err := m.claimAt(ctx, found.backup, request)
	switch {
	case err != nil:
		return nil, errors.Trace(err)
	case !answer.Granted:
		return nil, errRaced
	case answer.Copy == nil:
		return nil, gone
	}
	rec, err := m.options.Journal.Import(answer.Copy, request.Epoch)
	if errors.Is(err, journal.ErrExists) {
		return nil, errRaced
	}
	if err != nil {
		return nil, problem.Unknown(http.StatusServiceUnavailable, problem.CodeOverloaded,
			"the memory for requests is in use").WithRequestID(id).WithRetryAfter(m.options.CallTimeout)
	}
	m.metrics.takeovers.Inc(1)
	m.options.Logger.Info("request taken over", "request", id, "workspace", rec.Workspace, "class", rec.Class,
		"former", last.Holder.Name, "epoch", request.Epoch)
	m.begin(rec, found.backup)
	return rec, nil
}

// begin works on a record that came from elsewhere. The backup that granted
// its epoch may keep a copy that another daemon has to replace.
func (m *Manager) begin(rec *journal.Record, granted Address) *tracked {
	t := m.track(rec)
	t.mu.Lock()
	if granted.Name != "" {
		t.former = append(t.former, granted)
	}
	t.mu.Unlock()
	m.worker.Start(rec)
	return t
}

// claimAt claims an epoch at a backup, which may be this daemon.
func (m *Manager) claimAt(ctx context.Context, backup Address, request *claimRequest) (claimAnswer, error) {
	if backup.Name == m.self.Name {
		return m.claim(request), nil
	}
	var answer claimAnswer
	err := m.call(ctx, backup.Address, "/claim", request, &answer)
	return answer, err
}

// claim decides about an epoch here and tells the former holder.
func (m *Manager) claim(request *claimRequest) claimAnswer {
	answer, former := m.backups.claim(request)
	if former.Address != "" && former != request.Holder && !request.Agreed {
		moved := &movedRequest{ID: request.ID, Where: Where{Role: RolePointer, Epoch: request.Epoch, Holder: request.Holder}}
		if former == m.self {
			m.moved(moved)
		} else {
			go func() {
				if err := m.call(context.Background(), former.Address, "/moved", moved, nil); err != nil {
					m.options.Logger.Debug("former holder not told", "request", request.ID, "holder", former.Name, "error", err)
				}
			}()
		}
	}
	return answer
}

// lookAround adds what this daemon knows itself to a search.
func (m *Manager) lookAround(ctx context.Context, id string) (sighting, int) {
	found, answered := m.searchAll(ctx, id)
	found.add(m.self, m.backups.where(id))
	if rec := m.options.Journal.Get(id); rec != nil && rec.Moved() {
		found.add(m.self, movedTo(rec))
	}
	return found, answered
}

// search asks the daemons that may know a record; it also returns how many
// answered at all.
func (m *Manager) search(ctx context.Context, id string) (Where, int) {
	found, answered := m.searchAll(ctx, id)
	return found.Where, answered
}

func (m *Manager) searchAll(ctx context.Context, id string) (sighting, int) {
	var (
		found    sighting
		answered int
		mu       sync.Mutex
		group    sync.WaitGroup
	)
	for _, d := range likelyBackups(id, m.options.Self, m.options.Members.AllDaemons()) {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, m.options.CallTimeout)
			defer cancel()
			var answer Where
			if err := m.options.Peers.Call(ctx, http.MethodGet, d.Address, path+"/"+id, nil, &answer); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answered++
			found.add(Address{Name: d.Name, Address: d.Address}, answer)
		})
	}
	group.Wait()
	return found, answered
}

// adoptOrphans takes over the copies whose holder is no longer a known daemon
// and does not answer.
func (m *Manager) adoptOrphans(ctx context.Context) {
	known := map[Address]bool{}
	for _, d := range m.options.Members.AllDaemons() {
		known[Address{Name: d.Name, Address: d.Address}] = true
	}
	orphans := m.backups.orphans(func(a Address) bool { return a == m.self || known[a] })
	limit := make(chan struct{}, m.options.Parallel)
	var group sync.WaitGroup
	for id, where := range orphans {
		if ctx.Err() != nil {
			break
		}
		limit <- struct{}{}
		group.Go(func() {
			defer func() { <-limit }()
			if last := m.follow(ctx, id, where); last.Role != RoleHolder {
				_, err, _ := m.locates.Do(id, func() (any, error) { return m.locate(ctx, id) })
				if err != nil {
					m.options.Logger.Warn("request of a lost daemon not taken over", "request", id, "error", err)
				}
			}
		})
	}
	group.Wait()
}

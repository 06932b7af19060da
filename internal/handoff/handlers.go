package handoff

import (
	"context"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"rattantide/internal/journal"
	"rattantide/internal/peer"
	"rattantide/internal/problem"
)

// leavingProblem returns the error for records and copies sent to a daemon that
// is leaving.
func leavingProblem() error {
	return problem.NewExecutionUnknown(http.StatusServiceUnavailable, problem.CodeLeaving, "this daemon is leaving")
}

// RegisterHandlers registers the handlers for calls from other daemons on
// party, which is rooted at /peer/v1 and checks the peer token.
func (m *Manager) RegisterHandlers(party iris.Party) {
	limit := m.options.MaxMessageBytes
	peer.Handle(party, http.MethodPost, "/records", limit, m.serveCopy)
	peer.Handle(party, http.MethodPost, "/records/claim", limit, m.serveClaim)
	peer.Handle(party, http.MethodPost, "/records/adopt", limit, m.serveAdopt)
	peer.Handle(party, http.MethodPost, "/records/moved", limit, m.serveMoved)
	peer.Handle(party, http.MethodPost, "/records/release", limit, m.serveRelease)
	peer.Handle(party, http.MethodPost, "/records/check", limit, m.serveCheck)
	party.Get("/records/{id}", func(c iris.Context) {
		if err := c.JSON(m.placement(c.Request().Context(), c.Params().Get("id"))); err != nil {
			m.options.Logger.Debug("failed to send response to peer", "error", err)
		}
	})
}

func (m *Manager) serveCopy(_ context.Context, r copyRequest) (copyResponse, error) {
	if !m.tryAdmit() {
		return copyResponse{}, leavingProblem()
	}
	defer m.admitMu.RUnlock()
	return m.backups.store(&r, time.Now())
}

func (m *Manager) serveClaim(_ context.Context, r claimRequest) (claimResponse, error) {
	return m.claim(&r), nil
}

func (m *Manager) serveMoved(_ context.Context, r movedRequest) (struct{}, error) {
	m.handleMoved(&r)
	return struct{}{}, nil
}

func (m *Manager) serveRelease(_ context.Context, r releaseRequest) (struct{}, error) {
	m.backups.release(&r, time.Now())
	return struct{}{}, nil
}

func (m *Manager) serveCheck(ctx context.Context, r checkRequest) (checkResponse, error) {
	response := checkResponse{Records: map[string]Placement{}}
	for _, id := range r.IDs {
		if placement := m.backups.placement(id); placement.Role != RoleNone {
			response.Records[id] = placement
		}
	}
	return response, ctx.Err()
}

// serveAdopt takes a record over from a holder that is leaving. The record is
// imported before its epoch is claimed and started after that, so that the
// former holder can determine the result when the response is lost.
func (m *Manager) serveAdopt(ctx context.Context, r adoptRequest) (adoptResponse, error) {
	if r.Copy == nil || r.Copy.Request.ID == "" {
		return adoptResponse{}, problem.New(http.StatusBadRequest, problem.CodeBadRequest, "the copy has no record")
	}
	if !m.tryAdmit() {
		return adoptResponse{Reason: "this daemon is leaving"}, nil
	}
	defer m.admitMu.RUnlock()
	id := r.Copy.Request.ID
	if rec := m.options.Journal.Get(id); rec != nil && !rec.HasMoved() && rec.Epoch() == r.Epoch {
		return adoptResponse{Adopted: true}, nil
	}
	rec, err := m.options.Journal.Import(r.Copy, r.Epoch)
	if err != nil {
		return adoptResponse{Reason: err.Error()}, nil
	}
	hasBackup := false
	if r.Backup.Name != "" {
		response, err := m.claimAt(ctx, r.Backup, &claimRequest{ID: id, Epoch: r.Epoch, Holder: m.self, RequestedByHolder: true})
		if err == nil && !response.Granted && response.Placement.Epoch >= r.Epoch {
			rec.MarkMoved(response.Placement.Epoch+1, response.Placement.Holder.Address)
			m.options.Journal.Remove(rec)
			return adoptResponse{Reason: "another daemon holds the record"}, nil
		}
		// A backup that is unavailable or has no entry cannot have granted the
		// epoch to another daemon, because the holder itself requested the
		// adoption.
		hasBackup = response.Granted && r.Backup.Name != m.self.Name
	}
	m.metrics.adopted.Inc(1)
	t := m.startImported(rec, r.Backup)
	if !hasBackup {
		// The former holder discards the record on acknowledgement, so another
		// copy must exist before that.
		m.syncBackup(ctx, t)
	}
	return adoptResponse{Adopted: true}, nil
}

// handleMoved ends a record that another daemon holds under a higher epoch.
func (m *Manager) handleMoved(r *movedRequest) {
	if rec := m.options.Journal.Get(r.ID); rec != nil && !rec.HasMoved() && r.Placement.Epoch > rec.Epoch() {
		m.loseRecord(rec, r.Placement)
	}
}

// placement returns this daemon's knowledge of a record. It blocks while it is
// uncertain whether this daemon is still the holder.
func (m *Manager) placement(ctx context.Context, id string) Placement {
	var result searchResult
	result.add(m.self, m.backups.placement(id))
	if rec := m.options.Journal.Get(id); rec != nil {
		if m.CanSend(ctx, rec) {
			result.add(m.self, Placement{Role: RoleHolder, Epoch: rec.Epoch(), Holder: m.self, Workspace: rec.Workspace})
		} else if rec.HasMoved() {
			result.add(m.self, movedPlacement(rec))
		}
	}
	return result.Placement
}

func movedPlacement(rec *journal.Record) Placement {
	status := rec.Status()
	return Placement{Role: RolePointer, Epoch: status.Epoch, Holder: Address{Address: status.Successor}}
}

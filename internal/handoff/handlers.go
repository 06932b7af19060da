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

// leavingProblem refuses what should come to a daemon that is leaving.
func leavingProblem() error {
	return problem.Unknown(http.StatusServiceUnavailable, problem.CodeLeaving, "this daemon is leaving")
}

// RegisterHandlers serves the calls of other daemons on party, which is rooted
// at /peer/v1 and checks the peer token.
func (m *Manager) RegisterHandlers(party iris.Party) {
	limit := m.options.MaxMessageBytes
	peer.Handle(party, http.MethodPost, "/records", limit, m.serveCopy)
	peer.Handle(party, http.MethodPost, "/records/claim", limit, m.serveClaim)
	peer.Handle(party, http.MethodPost, "/records/adopt", limit, m.serveAdopt)
	peer.Handle(party, http.MethodPost, "/records/moved", limit, m.serveMoved)
	peer.Handle(party, http.MethodPost, "/records/release", limit, m.serveRelease)
	peer.Handle(party, http.MethodPost, "/records/check", limit, m.serveCheck)
	party.Get("/records/{id}", func(c iris.Context) {
		if err := c.JSON(m.where(c.Request().Context(), c.Params().Get("id"))); err != nil {
			m.options.Logger.Debug("peer answer not sent", "error", err)
		}
	})
}

func (m *Manager) serveCopy(_ context.Context, r copyRequest) (copyAnswer, error) {
	if !m.admit() {
		return copyAnswer{}, leavingProblem()
	}
	defer m.entry.RUnlock()
	return m.backups.store(&r, time.Now())
}

func (m *Manager) serveClaim(_ context.Context, r claimRequest) (claimAnswer, error) {
	return m.claim(&r), nil
}

func (m *Manager) serveMoved(_ context.Context, r movedRequest) (struct{}, error) {
	m.moved(&r)
	return struct{}{}, nil
}

func (m *Manager) serveRelease(_ context.Context, r releaseRequest) (struct{}, error) {
	m.backups.release(&r, time.Now())
	return struct{}{}, nil
}

func (m *Manager) serveCheck(ctx context.Context, r checkRequest) (checkAnswer, error) {
	answer := checkAnswer{Records: map[string]Where{}}
	for _, id := range r.IDs {
		if where := m.backups.where(id); where.Role != RoleNone {
			answer.Records[id] = where
		}
	}
	return answer, ctx.Err()
}

// serveAdopt takes a record over from a holder that is leaving. The record is
// held before the epoch is claimed and started after that, so that its former
// holder can find out what became of an answer that was lost.
func (m *Manager) serveAdopt(ctx context.Context, r adoptRequest) (adoptAnswer, error) {
	if r.Copy == nil || r.Copy.Request.ID == "" {
		return adoptAnswer{}, problem.New(http.StatusBadRequest, problem.CodeBadRequest, "the copy has no record")
	}
	if !m.admit() {
		return adoptAnswer{Reason: "this daemon is leaving"}, nil
	}
	defer m.entry.RUnlock()
	id := r.Copy.Request.ID
	if rec := m.options.Journal.Get(id); rec != nil && !rec.Moved() && rec.Epoch() == r.Epoch {
		return adoptAnswer{Adopted: true}, nil
	}
	rec, err := m.options.Journal.Import(r.Copy, r.Epoch)
	if err != nil {
		return adoptAnswer{Reason: err.Error()}, nil
	}
	safe := false
	if r.Backup.Name != "" {
		answer, err := m.claimAt(ctx, r.Backup, &claimRequest{ID: id, Epoch: r.Epoch, Holder: m.self, Agreed: true})
		if err == nil && !answer.Granted && answer.Where.Epoch >= r.Epoch {
			rec.Move(answer.Where.Epoch+1, answer.Where.Holder.Address)
			m.options.Journal.Remove(rec)
			return adoptAnswer{Reason: "another daemon holds the record"}, nil
		}
		// A backup that is gone or knows nothing cannot have granted the epoch
		// to anyone else; the holder itself asked for the adoption.
		safe = answer.Granted && r.Backup.Name != m.self.Name
	}
	m.metrics.adopted.Inc(1)
	t := m.begin(rec, r.Backup)
	if !safe {
		// The former holder lets go at the acknowledgement, so that there must
		// be another copy before it.
		m.sync(ctx, t)
	}
	return adoptAnswer{Adopted: true}, nil
}

// moved stops a record of which another daemon has a higher epoch.
func (m *Manager) moved(r *movedRequest) {
	if rec := m.options.Journal.Get(r.ID); rec != nil && !rec.Moved() && r.Where.Epoch > rec.Epoch() {
		m.lose(rec, r.Where)
	}
}

// where is what this daemon knows of a record. It waits while it is not clear
// whether this daemon still is the holder.
func (m *Manager) where(ctx context.Context, id string) Where {
	var found sighting
	found.add(m.self, m.backups.where(id))
	if rec := m.options.Journal.Get(id); rec != nil {
		if m.MaySend(ctx, rec) {
			found.add(m.self, Where{Role: RoleHolder, Epoch: rec.Epoch(), Holder: m.self, Workspace: rec.Workspace})
		} else if rec.Moved() {
			found.add(m.self, movedTo(rec))
		}
	}
	return found.Where
}

func movedTo(rec *journal.Record) Where {
	status := rec.Status()
	return Where{Role: RolePointer, Epoch: status.Epoch, Holder: Address{Address: status.Successor}}
}

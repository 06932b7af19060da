package objectapi

import (
	"net/http"
	"slices"

	"rattantide/internal/standin/control"
)

// Backup is a copy of the objects of an API.
type Backup struct {
	revision  int64
	revisions map[objectKey][]revisionValue
}

// Backup returns a copy of the present objects.
func (a *API) Backup() *Backup { return a.store.backup() }

// Restore replaces the objects by those of a backup: all later writes are lost, and their
// revisions are given out again. The era rises by one, and open watches end.
func (a *API) Restore(b *Backup) { a.store.restore(b) }

// serveBackup makes a backup for serveRestore.
func (a *API) serveBackup(w http.ResponseWriter, _ *http.Request) {
	b := a.store.backup()
	a.mu.Lock()
	a.saved = b
	a.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, map[string]any{"revision": b.revision})
}

// serveRestore restores the last backup of serveBackup.
func (a *API) serveRestore(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	b := a.saved
	a.mu.Unlock()
	if b == nil {
		control.WriteError(w, http.StatusConflict, "no_backup", "no backup was made")
		return
	}
	a.store.restore(b)
	control.WriteJSON(w, http.StatusOK, map[string]any{"era": a.store.currentEra()})
}

func (s *store) backup() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Backup{revision: s.revision, revisions: cloneRevisions(s.revisions)}
}

func (s *store) restore(b *Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.revisions = b.revision, cloneRevisions(b.revisions)
	s.events, s.compacted = nil, s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// currentEra returns how often the store was restored.
func (s *store) currentEra() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func cloneRevisions(revisions map[objectKey][]revisionValue) map[objectKey][]revisionValue {
	out := make(map[objectKey][]revisionValue, len(revisions))
	for key, values := range revisions {
		out[key] = slices.Clone(values)
	}
	return out
}

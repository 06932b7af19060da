package platformstore

import (
	"encoding/json"
	"net/http"
	"strconv"
)

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request) {
	var o Object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	kind, name, isCreate := r.PathValue("kind"), r.PathValue("name"), r.Method == http.MethodPost
	if isCreate {
		name = o.Metadata.Name
	}
	isStatus := r.URL.Path == "/objects/"+kind+"/"+name+"/status"
	s.mu.Lock()
	defer s.mu.Unlock()
	apply := func() (int, *Object) { return s.applyWriteLocked(kind, name, &o, isCreate, isStatus) }
	if s.faults.LateWrites > 0 {
		s.faults.LateWrites--
		s.lateWrites = append(s.lateWrites, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			apply()
		})
		panic(http.ErrAbortHandler)
	}
	code, stored := apply()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		panic(http.ErrAbortHandler)
	}
	if stored == nil {
		w.WriteHeader(code)
		return
	}
	writeJSON(w, code, stored)
}

// applyWriteLocked applies a write if its condition holds. It returns the status of
// the response and the stored object, if there is one. The caller holds s.mu.
func (s *Store) applyWriteLocked(kind, name string, o *Object, isCreate, isStatus bool) (int, *Object) {
	current := s.objects[kind][name]
	switch {
	case isCreate && current != nil:
		return http.StatusConflict, current
	case !isCreate && current == nil:
		return http.StatusNotFound, nil
	case !isCreate && o.Metadata.Revision != 0 && o.Metadata.Revision != current.Metadata.Revision:
		return http.StatusConflict, current
	}
	return http.StatusOK, s.putLocked(kind, name, o, isStatus)
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[kind][name]
	if current == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if text := r.URL.Query().Get("revision"); text != "" && text != strconv.FormatInt(current.Metadata.Revision, 10) {
		writeJSON(w, http.StatusConflict, current)
		return
	}
	s.deleteLocked(kind, name)
	writeJSON(w, http.StatusOK, current)
}

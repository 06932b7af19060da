package server

import (
	"encoding/json"
	"net/http"

	"rattantide/internal/entry"
)

func (s *Server) serveEntries(w http.ResponseWriter, r *http.Request) {
	workspace, p := s.authenticate(r)
	if p != nil {
		s.refuse(w, p)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(w).Encode(s.entriesFor(r, workspace))
}

// entriesFor returns the entries for a caller. A draining daemon omits itself, even
// if the membership table does not list it as leaving yet, and so does one that reaches no
// upstream while there are others.
func (s *Server) entriesFor(r *http.Request, workspace string) entry.Answer {
	daemons := s.options.Members.Daemons()
	if s.isDraining() || len(daemons) > 1 && s.lacksUpstreams() {
		remaining := daemons[:0:0]
		for _, d := range daemons {
			if d.Name != s.options.Self.Name {
				remaining = append(remaining, d)
			}
		}
		daemons = remaining
	}
	return entry.Choose(daemons, entry.Caller{
		Workspace: workspace, Salt: r.RemoteAddr, Region: s.options.Self.Region,
	}, s.options.EntryTTL)
}

package daemon

import (
	"rattantide/internal/admin"
	"rattantide/internal/admission"
	"rattantide/internal/journal"
)

// explainer tells where a request is from what admission and the journal know.
type explainer struct {
	name      string
	admission *admission.Controller
	journal   *journal.Journal
}

// Explain implements admin.Explainer.
func (e explainer) Explain(id string) (admin.Explanation, bool) {
	found, known := e.admission.Explain(id)
	record := e.journal.Get(id)
	if !known && record == nil {
		return admin.Explanation{}, false
	}
	out := admin.Explanation{ID: id, Daemon: e.name, State: "ended"}
	if known {
		out.Workspace, out.Class = found.Workspace, found.Class
		out.Rule, out.Detail = string(found.Rule), found.Detail
		out.WaitedMs = found.Waited.Milliseconds()
		out.Upstream, out.Version = found.Upstream, found.Version
	}
	if record != nil {
		status := record.Status()
		out.State, out.Attempts = string(status.State), len(status.Attempts)
		out.Workspace, out.Class, out.Route = record.Workspace, record.Class, record.Route
	}
	return out, true
}

package daemon

import (
	"rattantide/internal/admin"
	"rattantide/internal/admission"
	"rattantide/internal/journal"
)

// requestExplainer explains the state of a request from the data of admission
// and the journal.
type requestExplainer struct {
	daemonName string
	admission  *admission.Controller
	journal    *journal.Journal
}

// Explain implements admin.Explainer. It returns false when the identifier is
// unknown.
func (e requestExplainer) Explain(id string) (admin.Explanation, bool) {
	explanation, known := e.admission.Explain(id)
	record := e.journal.Get(id)
	if !known && record == nil {
		return admin.Explanation{}, false
	}
	out := admin.Explanation{ID: id, Daemon: e.daemonName, State: "ended"}
	if known {
		out.Workspace, out.Class = explanation.Workspace, explanation.Class
		out.Rule, out.Detail = string(explanation.Rule), explanation.Detail
		out.WaitedMs = explanation.Waited.Milliseconds()
		out.Upstream, out.Version = explanation.Upstream, explanation.Version
	}
	if record != nil {
		status := record.Status()
		out.State, out.Attempts = string(status.State), len(status.Attempts)
		out.Workspace, out.Class, out.Route = record.Workspace, record.Class, record.Route
	}
	return out, true
}

package daemon

import (
	"time"

	"rattantide/internal/burn"
	"rattantide/internal/server"
)

// burnObserver records ended requests for the burn report.
type burnObserver struct {
	recorder *burn.Recorder
}

// RequestEnded implements server.Observer.
func (o burnObserver) RequestEnded(e server.EndedRequest) {
	outcome := burn.OutcomeFailed
	switch {
	case e.OK:
		outcome = burn.OutcomeOK
	case e.Shed:
		outcome = burn.OutcomeShed
	}
	o.recorder.Observe(time.Now(), burn.Observation{
		Class: e.Class, Workspace: e.Workspace, Version: e.Version, Domain: e.Domain, Upstream: e.Upstream,
		FirstToken: e.FirstToken, BetweenTokens: e.BetweenTokens, Total: e.Total, Outcome: outcome,
	})
}

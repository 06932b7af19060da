package fleetdaemon

import (
	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/callerbudget"
)

// budgetReport reports a budget for callers in metrics and in the log.
type budgetReport struct {
	resource string
	budget   *callerbudget.Budget
	logger   *log.Logger
	scope    tally.Scope
	last     callerbudget.Stats
}

func newBudgetReport(resource string, budget *callerbudget.Budget, logger *log.Logger, scope tally.Scope) *budgetReport {
	return &budgetReport{
		resource: resource, budget: budget, logger: logger,
		scope: scope.SubScope("callers").Tagged(map[string]string{"resource": resource}),
	}
}

// update reports the current figures. It logs when reservations were refused or revoked since
// the last call.
func (r *budgetReport) update() {
	s := r.budget.Stats()
	r.scope.Gauge("held").Update(float64(s.Held))
	r.scope.Gauge("limit").Update(float64(s.Limit))
	refused, revoked := s.Refused-r.last.Refused, s.Revoked-r.last.Revoked
	r.last = s
	r.scope.Counter("refused").Inc(refused)
	r.scope.Counter("taken_back").Inc(revoked)
	if refused+revoked > 0 {
		r.logger.Warn("callers exceed a budget", "resource", r.resource, "held", s.Held, "limit", s.Limit, "refused", refused, "takenBack", revoked)
	}
}

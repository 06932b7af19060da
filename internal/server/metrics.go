package server

import (
	"github.com/uber-go/tally/v4"

	"rattantide/internal/dispatch"
	"rattantide/internal/journal"
	"rattantide/internal/problem"
)

// metrics are the server's counters. Tagged counters are cached by tally.
type metrics struct {
	scope     tally.Scope
	accepted  tally.Counter
	resumed   tally.Counter
	events    tally.Counter
	kvMoves   tally.Counter
	abandoned tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("server")
	return &metrics{
		scope:     scope,
		accepted:  scope.Counter("accepted"),
		resumed:   scope.Counter("resumed_streams"),
		events:    scope.Counter("events"),
		kvMoves:   scope.Counter("kv_moves"),
		abandoned: scope.Counter("abandoned"),
	}
}

func (m *metrics) refused(code problem.Code) {
	m.scope.Tagged(map[string]string{"code": string(code)}).Counter("refused").Inc(1)
}

// recomputed counts tokens that were computed again, by the reason why their
// state was lost.
func (m *metrics) recomputed(reason string, tokens int) {
	if tokens > 0 {
		m.scope.Tagged(map[string]string{"reason": reason}).Counter("recomputed_tokens").Inc(int64(tokens))
	}
}

func (m *metrics) finished(outcome journal.Outcome) {
	m.scope.Tagged(map[string]string{"outcome": string(outcome)}).Counter("finished").Inc(1)
}

func (m *metrics) attempt(status dispatch.Status, how mode) {
	m.scope.Tagged(map[string]string{"status": string(status), "mode": how.String()}).Counter("attempts").Inc(1)
}

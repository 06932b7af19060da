package server

import (
	"github.com/uber-go/tally/v4"

	"rattantide/internal/dispatch"
	"rattantide/internal/journal"
	"rattantide/internal/problem"
)

// metrics are the server's counters. Tagged counters are looked up for each use;
// tally caches them.
type metrics struct {
	scope    tally.Scope
	accepted tally.Counter
	// forwarded counts the requests that another daemon served.
	forwarded      tally.Counter
	resumedStreams tally.Counter
	events         tally.Counter
	kvMoves        tally.Counter
	abandoned      tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("server")
	return &metrics{
		scope:          scope,
		accepted:       scope.Counter("accepted"),
		forwarded:      scope.Counter("forwarded"),
		resumedStreams: scope.Counter("resumed_streams"),
		events:         scope.Counter("events"),
		kvMoves:        scope.Counter("kv_moves"),
		abandoned:      scope.Counter("abandoned"),
	}
}

func (m *metrics) countRefused(code problem.Code) {
	m.scope.Tagged(map[string]string{"code": string(code)}).Counter("refused").Inc(1)
}

// countRecomputed counts tokens that were computed again, by the reason why the
// previous engine's state was lost.
func (m *metrics) countRecomputed(reason string, tokens int) {
	if tokens > 0 {
		m.scope.Tagged(map[string]string{"reason": reason}).Counter("recomputed_tokens").Inc(int64(tokens))
	}
}

func (m *metrics) countFinished(outcome journal.Outcome) {
	m.scope.Tagged(map[string]string{"outcome": string(outcome)}).Counter("finished").Inc(1)
}

func (m *metrics) countAttempt(status dispatch.Status, mode attemptMode) {
	m.scope.Tagged(map[string]string{"status": string(status), "mode": mode.String()}).Counter("attempts").Inc(1)
}

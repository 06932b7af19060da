package handoff

import "github.com/uber-go/tally/v4"

// metrics are the counters of a Manager.
type metrics struct {
	copies, copyFailures      tally.Counter
	takeovers, lostRecords    tally.Counter
	handedOver, notHandedOver tally.Counter
	adopted, freezes          tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("handoff")
	return &metrics{
		copies: scope.Counter("copies"), copyFailures: scope.Counter("copy_failures"),
		takeovers: scope.Counter("takeovers"), lostRecords: scope.Counter("lost_records"),
		handedOver: scope.Counter("handed_over"), notHandedOver: scope.Counter("not_handed_over"),
		adopted: scope.Counter("adopted"), freezes: scope.Counter("freezes"),
	}
}

package rollout

import "context"

// Collector asks peers for their evidence.
type Collector interface {
	// Collect returns the reports of the peers that answered, with the rows
	// from slot since on. Peers that did not answer are left out.
	Collect(ctx context.Context, move string, declaredMs, since int64) []Report
}

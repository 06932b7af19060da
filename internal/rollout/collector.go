package rollout

import "context"

// Collector collects the evidence of peers.
type Collector interface {
	// Collect returns the reports of the peers that answered, with the rows of
	// slot since and later ones. Peers that did not answer are missing.
	Collect(ctx context.Context, move string, declaredMs, since int64) []Report
}

package rollout

import "context"

// VerdictSender tells peers of a verdict. Tell must not block; delivery may
// fail, because peers also find out from the move's status and through Collect.
type VerdictSender interface {
	Tell(v Verdict)
}

// Collector asks peers for their evidence.
type Collector interface {
	// Collect returns the reports of the peers that answered, with the rows
	// from slot since on. Peers that did not answer are left out.
	Collect(ctx context.Context, move string, declaredMs, since int64) []Report
}

// Leases is what the controller needs of lease.Manager.
type Leases interface {
	// Want makes the manager try to hold a duty's lease.
	Want(duty string)
	// Held returns the fencing token while the lease is held.
	Held(duty string) (fence int64, ok bool)
}

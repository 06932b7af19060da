package rollout

// Leases is what the controller needs of lease.Manager.
type Leases interface {
	// Want makes the manager try to hold a duty's lease.
	Want(duty string)
	// Held returns the fencing token while the lease is held.
	Held(duty string) (fence int64, ok bool)
}

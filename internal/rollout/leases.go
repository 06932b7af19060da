package rollout

// Leases is the part of lease.Manager that the controller uses.
type Leases interface {
	// Want makes the manager acquire and renew the lease of a duty.
	Want(duty string)
	// Held returns the fencing token; ok is true while this daemon may act as
	// the holder.
	Held(duty string) (fence int64, ok bool)
}

package admin

// Lease is a daemon's lease of a duty, which at most one daemon may perform at a time.
type Lease struct {
	Duty string `json:"duty"`
	// Fence is the fencing token of the lease.
	Fence int64 `json:"fence"`
}

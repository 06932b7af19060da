package admin

// Lease is a duty lease that a daemon holds.
type Lease struct {
	Duty string `json:"duty"`
	// Fence is the fencing token of the lease.
	Fence int64 `json:"fence"`
}

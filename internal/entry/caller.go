package entry

// Caller is for whom entries are chosen.
type Caller struct {
	Workspace string
	// Salt spreads the callers of one workspace, which may be too many for one
	// daemon. The remote address serves.
	Salt string
	// Region is preferred; empty prefers none.
	Region string
}

package entry

// Caller describes the caller for which entries are chosen.
type Caller struct {
	Workspace string
	// Salt distributes the callers of one workspace, which may be too many for one
	// daemon. The remote address is suitable.
	Salt string
	// Region is the preferred region, or empty for no preference.
	Region string
}

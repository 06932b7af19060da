package burn

// Export contains the measurements of one daemon, or of several after Merge.
type Export struct {
	// Daemons contains the names of the measured daemons.
	Daemons []string `json:"daemons"`
	// AtMs is the time of the export in Unix milliseconds.
	AtMs int64 `json:"atMs"`
	// Classes is keyed by the name of the class.
	Classes map[string]*ClassExport `json:"classes"`
}

package burn

// Export is what one daemon, or several after Merge, measured.
type Export struct {
	// Daemons names the daemons that the figures come from.
	Daemons []string `json:"daemons"`
	// AtMs is when the export was taken, in Unix milliseconds.
	AtMs    int64                   `json:"atMs"`
	Classes map[string]*ClassExport `json:"classes"`
}

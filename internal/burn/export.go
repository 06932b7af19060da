package burn

// Export is what one daemon, or several after Merge, measured.
type Export struct {
	Daemons []string `json:"daemons"`
}

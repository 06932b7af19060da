package rollout

// Row is one version's results in one stratum of a cell, as daemons exchange them.
type Row struct {
	Route string `json:"route"`
	Band  string `json:"band"`
	// Slot is the number of the time slot, counted from 0 at the declaration of
	// the move.
	Slot int64 `json:"slot"`
	// Work is the level of prompt work.
	Work uint8 `json:"work"`
	// New is true for the new version.
	New      bool `json:"new,omitempty"`
	Requests int  `json:"requests"`
	Errors   int  `json:"errors,omitempty"`
	// First and Gap are the buckets of the histograms as pairs of index and
	// count.
	First [][2]uint32 `json:"first,omitempty"`
	Gap   [][2]uint32 `json:"gap,omitempty"`
}

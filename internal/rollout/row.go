package rollout

// Row is one stratum of one version's evidence, as daemons exchange it.
type Row struct {
	Route string `json:"route"`
	Band  string `json:"band"`
	// Slot counts time from the declaration, in units of the move's slot.
	Slot     int64       `json:"slot"`
	Work     uint8       `json:"work"`
	New      bool        `json:"new,omitempty"`
	Requests int         `json:"requests"`
	Errors   int         `json:"errors,omitempty"`
	First    [][2]uint32 `json:"first,omitempty"`
	Gap      [][2]uint32 `json:"gap,omitempty"`
}

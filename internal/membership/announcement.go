package membership

// Announcement is an instance's statement about itself that it is leaving or
// that it is live. A leaving announcement holds until the instance's incarnation
// or its generation changes.
type Announcement struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain,omitempty"`
	Region  string `json:"region,omitempty"`
	Role    Role   `json:"role"`
	// Generation distinguishes successive processes with the same name and
	// address: the start time in Unix milliseconds, or 0 if the instance does not
	// report it. A higher generation cancels the announcement of a lower one.
	Generation int64 `json:"generation,omitempty"`
	// Live is set if the instance has started, and unset if it is leaving.
	Live bool `json:"live,omitempty"`
	// LeavingInMs is the time until the instance stops, in milliseconds; 0 if it
	// is not known.
	LeavingInMs int64 `json:"leavingInMs,omitempty"`
}

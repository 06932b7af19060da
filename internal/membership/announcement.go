package membership

// Announcement is an instance's own word that it is leaving, or that it is live.
// Leaving holds until the instance's incarnation or its generation changes.
type Announcement struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain,omitempty"`
	Region  string `json:"region,omitempty"`
	Role    Role   `json:"role"`
	// Generation tells processes apart that follow each other under the same
	// name and address: the start in Unix milliseconds, or 0 when the instance
	// does not tell. A later one ends what an earlier one announced.
	Generation int64 `json:"generation,omitempty"`
	// Live says that the instance has started, rather than that it is leaving.
	Live bool `json:"live,omitempty"`
	// LeavingInMs is the time that is left; 0 when it is not known.
	LeavingInMs int64 `json:"leavingInMs,omitempty"`
}

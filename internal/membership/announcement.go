package membership

// Announcement is an instance's own word that it is leaving. It holds until the
// instance's incarnation changes.
type Announcement struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain,omitempty"`
	Region  string `json:"region,omitempty"`
	Role    Role   `json:"role"`
	// LeavingInMs is the time that is left; 0 when it is not known.
	LeavingInMs int64 `json:"leavingInMs,omitempty"`
}

package burn

// ClassExport contains the goals and the measurements of a class.
type ClassExport struct {
	Goals []Goal `json:"goals"`
	// Windows is keyed by the name of the window, for example "1h".
	Windows map[string]*WindowExport `json:"windows"`
}

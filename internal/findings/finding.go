package findings

// Finding describes one invalid value of an input.
type Finding struct {
	// Path locates the value, for example "spec.target.firstToken". It is empty if the
	// finding is about the whole input.
	Path string `json:"path"`
	// Message describes the fault and what would be accepted.
	Message string `json:"message"`
}

// String returns the finding as "path: message", or only the message if the path
// is empty.
func (f Finding) String() string {
	if f.Path == "" {
		return f.Message
	}
	return f.Path + ": " + f.Message
}

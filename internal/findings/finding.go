package findings

// Finding is one thing that is wrong, and where.
type Finding struct {
	// Path locates the value, for example "classes[2].target.firstToken".
	Path string `json:"path"`
	// Message says what is wrong and what would be accepted.
	Message string `json:"message"`
}

// String returns the finding as "path: message".
func (f Finding) String() string {
	if f.Path == "" {
		return f.Message
	}
	return f.Path + ": " + f.Message
}

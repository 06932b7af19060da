package api

// Workspace is the spec of a tenant: one customer organization.
type Workspace struct {
	// TokenHash is the SHA-256 hash, in lower-case hexadecimal, of the bearer
	// token that the workspace's callers send.
	TokenHash string `json:"tokenHash"`
	// Classes lists the classes that the workspace may use. Empty means all.
	Classes []string `json:"classes,omitempty"`
}

// Allows reports whether the workspace may use the class.
func (w *Workspace) Allows(class string) bool {
	if len(w.Classes) == 0 {
		return true
	}
	for _, c := range w.Classes {
		if c == class {
			return true
		}
	}
	return false
}

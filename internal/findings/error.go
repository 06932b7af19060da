package findings

import "strings"

// Error carries all findings about one input.
type Error struct {
	Findings []Finding
}

// Error lists the findings, one a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

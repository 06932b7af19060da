package findings

import (
	"fmt"
	"strings"
)

// List collects findings. The zero value is ready to use. A List is not safe
// for concurrent use.
type List struct {
	items []Finding
}

// Addf adds a finding for the value at path.
func (l *List) Addf(path, format string, args ...any) {
	l.items = append(l.items, Finding{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Merge appends the findings of other, with prefix prepended to their paths.
func (l *List) Merge(prefix string, other *List) {
	for _, f := range other.items {
		f.Path = joinPath(prefix, f.Path)
		l.items = append(l.items, f)
	}
}

// Items returns the findings in the order in which they were added.
func (l *List) Items() []Finding { return l.items }

// IsEmpty reports whether the list has no findings.
func (l *List) IsEmpty() bool { return len(l.items) == 0 }

// Err returns an *Error with all findings, or nil if there are none.
func (l *List) Err() error {
	if l.IsEmpty() {
		return nil
	}
	return &Error{Findings: l.items}
}

// joinPath joins prefix and path with a dot, or without one if path starts with
// an index.
func joinPath(prefix, path string) string {
	switch {
	case prefix == "":
		return path
	case path == "":
		return prefix
	case strings.HasPrefix(path, "["):
		return prefix + path
	}
	return prefix + "." + path
}

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

// Addf records a finding at path.
func (l *List) Addf(path, format string, args ...any) {
	l.items = append(l.items, Finding{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Merge appends the findings of other, each with prefix before its path.
func (l *List) Merge(prefix string, other *List) {
	for _, f := range other.items {
		f.Path = join(prefix, f.Path)
		l.items = append(l.items, f)
	}
}

// Items returns the findings in the order in which they were added.
func (l *List) Items() []Finding { return l.items }

// Empty reports whether nothing was found.
func (l *List) Empty() bool { return len(l.items) == 0 }

// Err returns nil when nothing was found, else an *Error with all findings.
func (l *List) Err() error {
	if l.Empty() {
		return nil
	}
	return &Error{Findings: l.items}
}

func join(prefix, path string) string {
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

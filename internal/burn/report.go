package burn

import (
	"slices"

	"github.com/juju/errors"
)

// Report tells how fast each class spends its budgets.
type Report struct {
	Daemons []string      `json:"daemons"`
	AtMs    int64         `json:"atMs"`
	Classes []ClassReport `json:"classes"`
}

// NewReport computes the report of an export, which may be merged.
func NewReport(e *Export) (*Report, error) {
	out := &Report{Daemons: e.Daemons, AtMs: e.AtMs, Classes: []ClassReport{}}
	names := make([]string, 0, len(e.Classes))
	for name := range e.Classes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if e.Classes[name] == nil {
			continue
		}
		class, err := reportClass(name, e.Classes[name])
		if err != nil {
			return nil, errors.Annotatef(err, "class %q", name)
		}
		out.Classes = append(out.Classes, class)
	}
	return out, nil
}

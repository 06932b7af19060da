package burn

import (
	"slices"

	"github.com/juju/errors"
)

// Report describes how fast each class spends its error budgets.
type Report struct {
	Daemons []string      `json:"daemons"`
	AtMs    int64         `json:"atMs"`
	Classes []ClassReport `json:"classes"`
}

// NewReport returns the report of an export, which may be the result of Merge.
func NewReport(e *Export) (*Report, error) {
	report := &Report{Daemons: e.Daemons, AtMs: e.AtMs, Classes: []ClassReport{}}
	names := make([]string, 0, len(e.Classes))
	for name := range e.Classes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if e.Classes[name] == nil {
			continue
		}
		class, err := newClassReport(name, e.Classes[name])
		if err != nil {
			return nil, errors.Annotatef(err, "class %q", name)
		}
		report.Classes = append(report.Classes, class)
	}
	return report, nil
}

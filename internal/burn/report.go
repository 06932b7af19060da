package burn

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

// maxSpenders bounds the spenders listed for a goal.
const maxSpenders = 8

// Report tells how fast each class spends its budgets.
type Report struct {
	Daemons []string      `json:"daemons"`
	AtMs    int64         `json:"atMs"`
	Classes []ClassReport `json:"classes"`
}

// ClassReport is the report of one class.
type ClassReport struct {
	Class    string          `json:"class"`
	Goals    []GoalReport    `json:"goals"`
	Measures []MeasureReport `json:"measures"`
}

// GoalReport is the report of one goal of a class.
type GoalReport struct {
	Goal
	// Burn is in the order of Windows.
	Burn []WindowBurn `json:"burn"`
	// BudgetLeft is the part of the budget of the longest window that is left:
	// 1 is all of it, below 0 it is overspent.
	BudgetLeft float64 `json:"budgetLeft"`
	// Alert is AlertPage, AlertTicket or empty.
	Alert Alert `json:"alert,omitempty"`
	// Spenders lists what spent the budget of the longest window. First come
	// the values with the most bad requests above the average of the class, so
	// that a small bad version stands before a large average workspace.
	Spenders []Spender `json:"spenders"`
}

// WindowBurn is the burn of a goal in a window.
type WindowBurn struct {
	Window   string `json:"window"`
	Requests int64  `json:"requests"`
	Bad      int64  `json:"bad"`
	// Rate is the bad share over the share that may be bad: at 1 the budget is
	// spent exactly as fast as it is given.
	Rate float64 `json:"rate"`
}

// Spender is a value of a dimension and its part in what was spent.
type Spender struct {
	Dimension string `json:"dimension"`
	Value     string `json:"value"`
	Requests  int64  `json:"requests"`
	Bad       int64  `json:"bad"`
	// Share is the share of all bad requests.
	Share float64 `json:"share"`
	// BadRate is the bad share of this value's own requests. A value that only
	// has much traffic has a high Share and an average BadRate.
	BadRate float64 `json:"badRate"`
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
		class, err := reportClass(name, e.Classes[name])
		if err != nil {
			return nil, errors.Annotatef(err, "class %q", name)
		}
		out.Classes = append(out.Classes, class)
	}
	return out, nil
}

func reportClass(name string, class *ClassExport) (ClassReport, error) {
	out := ClassReport{Class: name, Goals: []GoalReport{}, Measures: []MeasureReport{}}
	buckets := make([]*bucket, len(Windows))
	for i, w := range Windows {
		buckets[i] = &bucket{}
		if exported := class.Windows[w.Name]; exported != nil {
			b, err := exported.bucket()
			if err != nil {
				return out, errors.Annotate(err, w.Name)
			}
			buckets[i] = b
		}
	}
	for _, goal := range class.Goals {
		if index := goalIndex(slices.Index(goalNames[:], goal.Name)); index >= 0 {
			out.Goals = append(out.Goals, reportGoal(goal, index, buckets))
		}
	}
	for measure := range measureCount {
		histograms := make([]*hdrhistogram.Histogram, len(buckets))
		for i, b := range buckets {
			histograms[i] = b.histograms[measure]
		}
		if m, ok := reportMeasure(goalNames[measure], histograms); ok {
			out.Measures = append(out.Measures, m)
		}
	}
	return out, nil
}

func reportGoal(goal Goal, index goalIndex, buckets []*bucket) GoalReport {
	out := GoalReport{Goal: goal, BudgetLeft: 1}
	for i, b := range buckets {
		burn := WindowBurn{Window: Windows[i].Name, Requests: b.counts.of(index), Bad: b.counts.Bad[index]}
		burn.Rate = rate(burn.Bad, burn.Requests, 1-goal.Share)
		out.Burn = append(out.Burn, burn)
	}
	longestWindow := buckets[len(buckets)-1]
	out.BudgetLeft = 1 - out.Burn[len(out.Burn)-1].Rate
	out.Alert = alertOf(out.Burn)
	out.Spenders = spendersOf(longestWindow, index)
	return out
}

// rate returns 0 without requests. A goal of 100% has no budget: any bad
// request then counts as if one in 10,000 were allowed, so that the rate stays
// finite.
func rate(bad, requests int64, allowed float64) float64 {
	if requests == 0 || bad == 0 {
		return 0
	}
	return float64(bad) / float64(requests) / max(allowed, 1e-4)
}

func spendersOf(b *bucket, goal goalIndex) []Spender {
	out := []Spender{}
	total := b.counts.Bad[goal]
	for i, values := range b.spenders {
		for value, counts := range values {
			if bad := counts.Bad[goal]; bad > 0 && total > 0 {
				out = append(out, Spender{
					Dimension: dimensionNames[i], Value: value, Requests: counts.of(goal), Bad: bad,
					Share: float64(bad) / float64(total), BadRate: float64(bad) / float64(max(1, counts.of(goal))),
				})
			}
		}
	}
	average := float64(total) / float64(max(1, b.counts.of(goal)))
	slices.SortFunc(out, func(a, b Spender) int {
		return cmp.Or(cmp.Compare(b.excess(average), a.excess(average)), cmp.Compare(b.Bad, a.Bad),
			cmp.Compare(a.Dimension, b.Dimension), cmp.Compare(a.Value, b.Value))
	})
	return out[:min(len(out), maxSpenders)]
}

// excess is the number of bad requests above the average of the class.
func (s *Spender) excess(average float64) float64 {
	return float64(s.Bad) - average*float64(s.Requests)
}

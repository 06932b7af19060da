package burn

import (
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

// ClassReport is the report of one class.
type ClassReport struct {
	Class    string          `json:"class"`
	Goals    []GoalReport    `json:"goals"`
	Measures []MeasureReport `json:"measures"`
}

func newClassReport(name string, class *ClassExport) (ClassReport, error) {
	report := ClassReport{Class: name, Goals: []GoalReport{}, Measures: []MeasureReport{}}
	buckets := make([]*bucket, len(Windows))
	for i, w := range Windows {
		buckets[i] = &bucket{}
		if exported := class.Windows[w.Name]; exported != nil {
			b, err := exported.decode()
			if err != nil {
				return report, errors.Annotate(err, w.Name)
			}
			buckets[i] = b
		}
	}
	for _, goal := range class.Goals {
		if index := goalIndex(slices.Index(goalNames[:], goal.Name)); index >= 0 {
			report.Goals = append(report.Goals, newGoalReport(goal, index, buckets))
		}
	}
	for measure := range measureCount {
		histograms := make([]*hdrhistogram.Histogram, len(buckets))
		for i, b := range buckets {
			histograms[i] = b.histograms[measure]
		}
		if m, ok := newMeasureReport(goalNames[measure], histograms); ok {
			report.Measures = append(report.Measures, m)
		}
	}
	return report, nil
}

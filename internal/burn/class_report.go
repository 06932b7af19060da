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

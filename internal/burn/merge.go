package burn

import (
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

// Merge merges the exports of several daemons. Histograms are added value by
// value, so that percentiles of the result are those over all requests. The goals
// of a class are taken from the newest export. If an export cannot be decoded,
// the error names its class, daemons and window.
func Merge(exports ...*Export) (*Export, error) {
	merged := &Export{Daemons: []string{}, Classes: map[string]*ClassExport{}}
	sums := map[string]map[string]*bucket{}
	for _, e := range exports {
		isNewest := e.AtMs >= merged.AtMs
		merged.AtMs = max(merged.AtMs, e.AtMs)
		merged.Daemons = append(merged.Daemons, e.Daemons...)
		for name, class := range e.Classes {
			if class == nil {
				continue
			}
			if merged.Classes[name] == nil {
				merged.Classes[name] = &ClassExport{Goals: class.Goals}
				sums[name] = map[string]*bucket{}
			} else if isNewest && len(class.Goals) > 0 {
				merged.Classes[name].Goals = class.Goals
			}
			if err := addWindows(sums[name], class); err != nil {
				return nil, errors.Annotatef(err, "class %q of %v", name, e.Daemons)
			}
		}
	}
	slices.Sort(merged.Daemons)
	for name, windows := range sums {
		encoded := map[string]*WindowExport{}
		for window, sum := range windows {
			w, err := sum.encode()
			if err != nil {
				return nil, errors.Annotatef(err, "class %q", name)
			}
			encoded[window] = w
		}
		merged.Classes[name].Windows = encoded
	}
	return merged, nil
}

// addWindows adds the windows of class to sums, which is keyed by window name.
func addWindows(sums map[string]*bucket, class *ClassExport) error {
	for window, w := range class.Windows {
		if w == nil {
			continue
		}
		b, err := w.decode()
		if err != nil {
			return errors.Annotatef(err, "window %q", window)
		}
		if sums[window] == nil {
			sums[window] = &bucket{}
		}
		if err := sums[window].merge(b); err != nil {
			return errors.Annotatef(err, "window %q", window)
		}
	}
	return nil
}

// merge adds other to b. It does not apply maxDimensionValues, because the number
// of values is limited by the number of merged buckets.
func (b *bucket) merge(other *bucket) error {
	b.counts.Add(other.counts)
	for i, h := range other.histograms {
		if h == nil || h.TotalCount() == 0 {
			continue
		}
		if b.histograms[i] == nil {
			b.histograms[i] = newHistogram()
		}
		if dropped := b.histograms[i].Merge(h); dropped > 0 {
			return errors.Errorf("%d values of %s are out of range", dropped, goalNames[i])
		}
	}
	for i, values := range other.spenders {
		if b.spenders[i] == nil && len(values) > 0 {
			b.spenders[i] = make(map[string]*Counts, len(values))
		}
		for value, counts := range values {
			if counts == nil {
				continue
			}
			if existing := b.spenders[i][value]; existing != nil {
				existing.Add(*counts)
				continue
			}
			copied := *counts
			b.spenders[i][value] = &copied
		}
	}
	return nil
}

// decodeHistogram decodes a histogram that bucket.encode encoded.
func decodeHistogram(encoded []byte) (*hdrhistogram.Histogram, error) {
	h, err := hdrhistogram.Decode(encoded)
	return h, errors.Annotate(err, "histogram")
}

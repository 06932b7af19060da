package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramUnit is the unit of histogram values: 100 µs resolves 55 ms
	// between tokens to 0.2%.
	histogramUnit = 100 * time.Microsecond
	// maxMeasure is the largest recorded measure; larger ones are clamped to it.
	maxMeasure = 10 * time.Minute
	// significantDigits limits the error of percentiles to below 1%, at 14 KiB
	// per histogram.
	significantDigits = 2
	// maxDimensionValues limits the number of values recorded per dimension;
	// further ones are counted together as overflowValue.
	maxDimensionValues = 64
)

// overflowValue replaces the values beyond maxDimensionValues and the classes
// beyond maxClasses.
const overflowValue = "(other)"

// The dimensions by which the spending of a budget is broken down.
const (
	dimensionWorkspace = iota
	dimensionVersion
	dimensionDomain
	dimensionUpstream
	dimensionCount
)

var dimensionNames = [dimensionCount]string{"workspace", "version", "domain", "upstream"}

// bucket aggregates the observations of one class in one slot of a window's ring.
// index is the number of the slot's time interval since the Unix epoch.
type bucket struct {
	index      int64
	counts     Counts
	histograms [measureCount]*hdrhistogram.Histogram
	spenders   [dimensionCount]map[string]*Counts
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxMeasure/histogramUnit), significantDigits)
}

// reset empties b for reuse without freeing its memory.
func (b *bucket) reset(index int64) {
	b.index, b.counts = index, Counts{}
	for _, h := range b.histograms {
		if h != nil {
			h.Reset()
		}
	}
	for i := range b.spenders {
		clear(b.spenders[i])
	}
}

func (b *bucket) add(o *Observation, counts Counts) {
	b.counts.Add(counts)
	b.recordMeasure(goalFirstToken, o.FirstToken)
	b.recordMeasure(goalBetweenTokens, o.BetweenTokens)
	if o.Outcome == OutcomeOK {
		b.recordMeasure(goalAnswer, o.Total)
	}
	b.addSpender(dimensionWorkspace, o.Workspace, counts)
	b.addSpender(dimensionVersion, o.Version, counts)
	b.addSpender(dimensionDomain, o.Domain, counts)
	b.addSpender(dimensionUpstream, o.Upstream, counts)
}

// recordMeasure adds d to the histogram of a measure. A missing measure, which is
// 0, is ignored.
func (b *bucket) recordMeasure(measure goalIndex, d time.Duration) {
	if d <= 0 {
		return
	}
	h := b.histograms[measure]
	if h == nil {
		h = newHistogram()
		b.histograms[measure] = h
	}
	// The value is clamped to the histogram's range, so this cannot fail.
	_ = h.RecordValue(max(1, int64(min(d, maxMeasure)/histogramUnit)))
}

// addSpender adds counts to a value of a dimension. An empty value is ignored.
func (b *bucket) addSpender(dimension int, value string, counts Counts) {
	if value == "" {
		return
	}
	values := b.spenders[dimension]
	if values == nil {
		values = map[string]*Counts{}
		b.spenders[dimension] = values
	}
	existing := values[value]
	if existing == nil {
		if len(values) >= maxDimensionValues {
			value = overflowValue
			existing = values[value]
		}
		if existing == nil {
			existing = &Counts{}
			values[value] = existing
		}
	}
	existing.Add(counts)
}

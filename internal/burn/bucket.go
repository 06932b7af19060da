package burn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// unit is what histograms count in: 100 µs resolves the 55 ms between
	// tokens to 0.2%.
	unit = 100 * time.Microsecond
	// longest is the largest recorded measure; a longer one counts as this.
	longest = 10 * time.Minute
	// digits gives percentiles an error below 1% at 14 KiB a histogram.
	digits = 2
	// maxValues bounds the values kept of each dimension; further ones are
	// counted together.
	maxValues = 64
)

// otherValue stands for the values beyond maxValues.
const otherValue = "(other)"

// The dimensions that a budget can be spent by.
const (
	dimWorkspace = iota
	dimVersion
	dimDomain
	dimUpstream
	dimCount
)

var dimensionNames = [dimCount]string{"workspace", "version", "domain", "upstream"}

// bucket holds the observations of one class in one step of a ring.
type bucket struct {
	index      int64
	counts     Counts
	histograms [measureCount]*hdrhistogram.Histogram
	spenders   [dimCount]map[string]*Counts
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(longest/unit), digits)
}

// reset empties b for reuse and keeps its memory.
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
	b.record(goalFirstToken, o.FirstToken)
	b.record(goalBetweenTokens, o.BetweenTokens)
	if o.Outcome == OutcomeOK {
		b.record(goalAnswer, o.Total)
	}
	b.spend(dimWorkspace, o.Workspace, counts)
	b.spend(dimVersion, o.Version, counts)
	b.spend(dimDomain, o.Domain, counts)
	b.spend(dimUpstream, o.Upstream, counts)
}

func (b *bucket) record(measure goalIndex, d time.Duration) {
	if d <= 0 {
		return
	}
	h := b.histograms[measure]
	if h == nil {
		h = newHistogram()
		b.histograms[measure] = h
	}
	// The value is clamped into the histogram's range, so this cannot fail.
	_ = h.RecordValue(max(1, int64(min(d, longest)/unit)))
}

func (b *bucket) spend(dimension int, value string, counts Counts) {
	if value == "" {
		return
	}
	values := b.spenders[dimension]
	if values == nil {
		values = map[string]*Counts{}
		b.spenders[dimension] = values
	}
	held := values[value]
	if held == nil {
		if len(values) >= maxValues {
			value = otherValue
			held = values[value]
		}
		if held == nil {
			held = &Counts{}
			values[value] = held
		}
	}
	held.Add(counts)
}

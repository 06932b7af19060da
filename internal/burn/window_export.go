package burn

import (
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

// WindowExport contains the measurements of a class in a window.
type WindowExport struct {
	Counts Counts `json:"counts"`
	// Histograms contains the histograms of firstToken, betweenTokens and answer
	// in units of 100 µs, in the compressed HdrHistogram V2 encoding.
	Histograms map[string][]byte `json:"histograms,omitempty"`
	// Spenders contains the counts by dimension (workspace, version, domain,
	// upstream) and value.
	Spenders map[string]map[string]*Counts `json:"spenders,omitempty"`
}

func (b *bucket) encode() (*WindowExport, error) {
	w := &WindowExport{Counts: b.counts, Histograms: map[string][]byte{}, Spenders: map[string]map[string]*Counts{}}
	for i, h := range b.histograms {
		if h == nil || h.TotalCount() == 0 {
			continue
		}
		encoded, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			return nil, errors.Annotate(err, goalNames[i])
		}
		w.Histograms[goalNames[i]] = encoded
	}
	for i, values := range b.spenders {
		if len(values) > 0 {
			w.Spenders[dimensionNames[i]] = values
		}
	}
	return w, nil
}

func (w *WindowExport) decode() (*bucket, error) {
	b := &bucket{counts: w.Counts}
	for i, name := range goalNames[:measureCount] {
		encoded, ok := w.Histograms[name]
		if !ok {
			continue
		}
		h, err := decodeHistogram(encoded)
		if err != nil {
			return nil, errors.Annotate(err, name)
		}
		b.histograms[i] = h
	}
	for i, name := range dimensionNames {
		b.spenders[i] = w.Spenders[name]
	}
	return b, nil
}

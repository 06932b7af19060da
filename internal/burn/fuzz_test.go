package burn_test

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/burn"
)

// FuzzMerge guards against a damaged export of one daemon that crashes the reader
// of all exports, and against a merge whose result cannot be reported.
func FuzzMerge(f *testing.F) {
	r := newRecorder("a")
	r.Observe(startTime, okObservation(100*time.Millisecond))
	export := r.Export(startTime)
	encoded, err := json.Marshal(export)
	assert.NilError(f, err)
	f.Add(encoded)
	for _, seed := range []string{
		`null`, `{}`, `{"classes":{"chat":null}}`, `{"classes":{"chat":{"windows":{"1h":null}}}}`,
		`{"classes":{"chat":{"goals":[{"name":"firstToken"}],"windows":{"1h":{"counts":{"requests":-1},"histograms":{"firstToken":""},"spenders":{"workspace":{"w":null}}}}}}}`,
		`{"classes":{"chat":{"windows":{"1h":{"histograms":{"answer":"HISTFAAAAAA="}}}}}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		damaged := &burn.Export{}
		if json.Unmarshal(data, damaged) != nil {
			return
		}
		merged, err := burn.Merge(export, damaged)
		if err != nil {
			return
		}
		report, err := burn.NewReport(merged)
		assert.NilError(t, err)
		assert.NilError(t, report.WriteHTML(io.Discard))
	})
}

// FuzzMergeHistogram is FuzzMerge for the bytes of a histogram, which a fuzzer
// cannot reach through the JSON encoding of an export.
func FuzzMergeHistogram(f *testing.F) {
	r := newRecorder("a")
	r.Observe(startTime, okObservation(100*time.Millisecond))
	export := r.Export(startTime)
	for _, w := range export.Classes["chat"].Windows {
		for _, histogram := range w.Histograms {
			f.Add(histogram)
		}
	}
	f.Add([]byte{})
	f.Add([]byte("\x1c\x84\x93\x14\x00\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, histogram []byte) {
		damaged := &burn.Export{Classes: map[string]*burn.ClassExport{"chat": {Windows: map[string]*burn.WindowExport{
			"1h": {Histograms: map[string][]byte{"firstToken": histogram}},
		}}}}
		merged, err := burn.Merge(export, damaged)
		if err != nil {
			return
		}
		_, err = burn.NewReport(merged)
		assert.NilError(t, err)
	})
}

package burn_test

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/burn"
)

// FuzzMerge guards against an export of one daemon that ends the reader of all,
// and against a merge whose result cannot be read or reported.
func FuzzMerge(f *testing.F) {
	r := recorder("a")
	r.Observe(start, answered(100*time.Millisecond))
	export := r.Export(start)
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
		other := &burn.Export{}
		if json.Unmarshal(data, other) != nil {
			return
		}
		merged, err := burn.Merge(export, other)
		if err != nil {
			return
		}
		report, err := burn.NewReport(merged)
		assert.NilError(t, err)
		assert.NilError(t, report.WriteHTML(io.Discard))
	})
}

// FuzzMergeHistogram is FuzzMerge for the bytes of a histogram, which the
// encoding of an export as JSON keeps a fuzzer from reaching.
func FuzzMergeHistogram(f *testing.F) {
	r := recorder("a")
	r.Observe(start, answered(100*time.Millisecond))
	export := r.Export(start)
	for _, w := range export.Classes["chat"].Windows {
		for _, histogram := range w.Histograms {
			f.Add(histogram)
		}
	}
	f.Add([]byte{})
	f.Add([]byte("\x1c\x84\x93\x14\x00\x00\x00\x00"))
	f.Fuzz(func(t *testing.T, histogram []byte) {
		other := &burn.Export{Classes: map[string]*burn.ClassExport{"chat": {Windows: map[string]*burn.WindowExport{
			"1h": {Histograms: map[string][]byte{"firstToken": histogram}},
		}}}}
		merged, err := burn.Merge(export, other)
		if err != nil {
			return
		}
		_, err = burn.NewReport(merged)
		assert.NilError(t, err)
	})
}

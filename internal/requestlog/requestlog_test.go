package requestlog

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const logText = `
 1.5 front-1 {"time":"2026-01-01T00:00:02Z","level":"warn","msg":"request not served","request":"b","status":503,"reason":"keys not confirmed","configAgeMs":4700}
{"time":"2026-01-01T00:00:01Z","level":"info","msg":"request answered","request":"a","status":200}
not a log line
{"time":"2026-01-01T00:00:03Z","level":"warn","msg":"request not served","request":"c","status":503,"reason":"keys not confirmed"}
{"time":"2026-01-01T00:00:04Z","level":"info","msg":"upstream is gone","upstream":"i-1"}
{"time":"2026-01-01T00:00:05Z"
`

// TestReadAndSummary guards against log lines that are skipped because a log
// collector added a prefix, and against lines that make Read fail.
func TestReadAndSummary(t *testing.T) {
	var entries []Entry
	var summary Summary
	skipped, err := Read("file", strings.NewReader(logText), func(e Entry) {
		entries = append(entries, e)
		summary.Add(e)
	})
	assert.NilError(t, err)
	assert.Equal(t, skipped, 2)
	assert.Equal(t, len(entries), 4)
	assert.Equal(t, entries[0].Source, "file 1.5 front-1")
	assert.Equal(t, string(entries[0].Fields["configAgeMs"]), "4700")
	SortByTime(entries)
	assert.Equal(t, entries[0].Request, "a")
	assert.Equal(t, summary.Requests(), 3)
	assert.DeepEqual(t, summary.Causes(), []Cause{{Status: 503, Reason: "keys not confirmed", Count: 2, Example: "b"}})
}

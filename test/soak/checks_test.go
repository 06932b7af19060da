package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// revokeWithin is the bound of the settings on how long a removed key may be
// accepted.
const revokeWithin = 5 * time.Second

// notRun are the statuses that promise that a request did not run.
var notRun = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// maxRuns is how often a request of a kind may run.
var maxRuns = map[string]int{"order": 1, "chat": 1, "lookup": 2, "resume": 2}

// findings returns every promise that was broken.
func findings(f *fleet, calls []call, takenAt time.Time) []string {
	var out []string
	addf := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	runs, byRunner := map[string]int{}, map[string][]string{}
	for _, r := range f.runners {
		for _, run := range r.Runs() {
			runs[run.AttemptID]++
			byRunner[run.AttemptID] = append(byRunner[run.AttemptID], r.ID)
			if run.Header.Get("X-Tenant") != "w" || run.Header.Get("Authorization") != "" || run.Body != "body" {
				addf("%s reached %s changed: %v", run.AttemptID, r.ID, run)
			}
		}
	}
	known := map[string]bool{}
	for i := range calls {
		c := &calls[i]
		known[c.id] = true
		n := runs[c.id]
		switch {
		case n > maxRuns[c.kind]:
			addf("%s (%s) ran %d times, at %v", c.id, c.kind, n, byRunner[c.id])
		case notRun[c.status] && n > 0:
			addf("%s (%s) was answered %d and ran at %v", c.id, c.kind, c.status, byRunner[c.id])
		case c.key == takenKey && !takenAt.IsZero() && c.sentAt.After(takenAt.Add(revokeWithin)) && n > 0:
			addf("%s ran with a key that was taken %s before", c.id, c.sentAt.Sub(takenAt))
		}
		if c.status == http.StatusOK && c.complete {
			out = append(out, wrongAnswer(c, byRunner[c.id])...)
		}
	}
	for id := range runs {
		if !known[id] {
			addf("%s ran and nobody sent it", id)
		}
	}
	reported := map[int64]string{}
	for _, r := range f.cloud.Reports() {
		text := fmt.Sprint(r.Counts)
		if before, ok := reported[r.Window]; ok && before != text {
			addf("usage of window %d was reported as %s and as %s", r.Window, before, text)
		}
		reported[r.Window] = text
	}
	return out
}

// wrongWindows returns the reports of usage for windows that lie outside of the
// time in which requests were sent.
func wrongWindows(f *fleet, begun, ended time.Time) []string {
	var out []string
	first, last := begun.Unix()/usageWindowSeconds-1, ended.Unix()/usageWindowSeconds+1
	for _, r := range f.cloud.Reports() {
		if r.Window < first || r.Window > last {
			out = append(out, fmt.Sprintf("%s reported usage of window %d, outside of %d to %d", r.Holder, r.Window, first, last))
		}
	}
	return out
}

// wrongAnswer checks a success that looks complete.
func wrongAnswer(c *call, ranAt []string) []string {
	want := "answer of the runner"
	if c.kind == "chat" || c.kind == "resume" {
		var b strings.Builder
		for n := 1; n <= streamEvents; n++ {
			b.WriteString("id: " + strconv.Itoa(n) + "\ndata: piece " + strconv.Itoa(n) + "\n\n")
		}
		want = b.String()
	}
	sealed := false
	for _, id := range ranAt {
		sealed = sealed || c.seal == "seal-"+id+"-"+c.id
	}
	if c.body == want && sealed {
		return nil
	}
	return []string{fmt.Sprintf("%s (%s) got %q with %q, ran at %v", c.id, c.kind, c.body, c.seal, ranAt)}
}

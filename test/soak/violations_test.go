package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// revocationBound is how long a daemon may accept an API key after its removal
// from the configuration. It equals revokeMs in the nodes' settings.
const revocationBound = 5 * time.Second

// notRunStatuses are the response statuses that guarantee that no runner executed
// the request.
var notRunStatuses = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true, http.StatusUnprocessableEntity: true,
}

// maxExecutions is how many times runners may execute a request, by kind.
var maxExecutions = map[string]int{"order": 1, "chat": 1, "lookup": 2, "resume": 2}

// violations compares the calls of the clients with the executions at the runners
// and the usage reports, and describes every broken guarantee. revokedAt is the time
// at which revokedKey was removed, or zero.
func violations(f *fleet, calls []call, revokedAt time.Time) []string {
	var out []string
	addf := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	executions, runnerIDs := map[string]int{}, map[string][]string{}
	for _, r := range f.runners {
		for _, execution := range r.Executions() {
			executions[execution.AttemptID]++
			runnerIDs[execution.AttemptID] = append(runnerIDs[execution.AttemptID], r.ID)
			if execution.Header.Get("X-Tenant") != "w" || execution.Header.Get("Authorization") != "" || execution.Body != "body" {
				addf("%s reached runner %s with a changed header or body: %v", execution.AttemptID, r.ID, execution)
			}
		}
	}
	sentIDs := map[string]bool{}
	for i := range calls {
		c := &calls[i]
		sentIDs[c.id] = true
		n := executions[c.id]
		switch {
		case n > maxExecutions[c.kind]:
			addf("%s (%s) was executed %d times, by runners %v", c.id, c.kind, n, runnerIDs[c.id])
		case notRunStatuses[c.status] && n > 0:
			addf("%s (%s) was answered with status %d but executed by runners %v", c.id, c.kind, c.status, runnerIDs[c.id])
		case c.key == revokedKey && !revokedAt.IsZero() && c.sentAt.After(revokedAt.Add(revocationBound)) && n > 0:
			addf("%s was executed with a key that was revoked %s before", c.id, c.sentAt.Sub(revokedAt))
		}
		if c.status == http.StatusOK && c.isComplete {
			out = append(out, answerViolations(c, runnerIDs[c.id])...)
		}
	}
	for id := range executions {
		if !sentIDs[id] {
			addf("%s was executed but no client sent it", id)
		}
	}
	countsByWindow, holderByToken := map[int64]string{}, map[int64]string{}
	for _, r := range f.cloud.Reports() {
		text := fmt.Sprint(r.Counts)
		if previous, ok := countsByWindow[r.Window]; ok && previous != text {
			addf("usage of window %d was reported with different counts: %s and %s", r.Window, previous, text)
		}
		countsByWindow[r.Window] = text
		if previous, ok := holderByToken[r.Fence]; ok && previous != r.Holder {
			addf("fencing token %d was used by %s and by %s", r.Fence, previous, r.Holder)
		}
		holderByToken[r.Fence] = r.Holder
	}
	return out
}

// windowViolations describes the usage reports for windows outside of the time in
// which requests were sent, with a tolerance of one window on either side.
func windowViolations(f *fleet, startedAt, endedAt time.Time) []string {
	var out []string
	first, last := startedAt.Unix()/usageWindowSeconds-1, endedAt.Unix()/usageWindowSeconds+1
	for _, r := range f.cloud.Reports() {
		if r.Window < first || r.Window > last {
			out = append(out, fmt.Sprintf("%s reported usage of window %d, outside of %d to %d", r.Holder, r.Window, first, last))
		}
	}
	return out
}

// answerViolations checks the body and the seal of a complete response with status
// 200.
func answerViolations(c *call, runnerIDs []string) []string {
	want := "answer of the runner"
	if c.kind == "chat" || c.kind == "resume" {
		var b strings.Builder
		for n := 1; n <= streamEvents; n++ {
			b.WriteString("id: " + strconv.Itoa(n) + "\ndata: piece " + strconv.Itoa(n) + "\n\n")
		}
		want = b.String()
	}
	hasValidSeal := false
	for _, id := range runnerIDs {
		hasValidSeal = hasValidSeal || c.seal == "seal-"+id+"-"+c.id
	}
	if c.body == want && hasValidSeal {
		return nil
	}
	return []string{fmt.Sprintf("%s (%s): unexpected body %q or seal %q, executed by runners %v", c.id, c.kind, c.body, c.seal, runnerIDs)}
}

package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"rattantide/internal/problem"
)

// orderTimeout bounds the service calls of one order command.
const orderTimeout = time.Minute

// outcome is what the caller of a service call knows about its execution. The values
// are the names of fields in order conditions.
type outcome string

const (
	outcomeRunning outcome = "running"
	// outcomeOK means that the caller received the service's answer.
	outcomeOK      outcome = "ok"
	outcomeNotRun  outcome = "notrun"
	outcomeUnknown outcome = "unknown"
	// outcomeOther is any other answer; it states nothing about the execution.
	outcomeOther outcome = "other"
)

// orders is the group of service calls of one order command. outcomes holds the
// outcome of each call by idempotency key, and answerCounts counts the answers by their
// description.
type orders struct {
	cancel context.CancelFunc

	mu           sync.Mutex
	outcomes     map[string]outcome
	answerCounts map[string]int
}

// cmdOrder implements order: it sends service calls in the background.
func cmdOrder(ts *testscript.TestScript, s *scriptState, args []string) {
	if len(args) < 1 {
		ts.Fatalf("usage: order NAME key=value...")
	}
	o := parseOptions(ts, args[1:], "n", "path", "method", "body", "key", "via", "token")
	n := o.number("n", 1)
	entries := s.daemonAddresses()
	if name := o.text("via", ""); name != "" {
		entries = []string{s.mustProcess(ts, name).address}
	}
	if len(entries) == 0 {
		ts.Fatalf("no daemon is running")
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	group := &orders{cancel: cancel, outcomes: map[string]outcome{}, answerCounts: map[string]int{}}
	prefix := o.text("key", args[0]+"-"+uuid.NewString()[:8])
	for i := range n {
		key := prefix
		if n > 1 {
			key += "-" + strconv.Itoa(i)
		}
		group.mu.Lock()
		group.outcomes[key] = outcomeRunning
		group.mu.Unlock()
		req, err := http.NewRequestWithContext(ctx, o.text("method", "POST"), "http://"+entries[i%len(entries)]+o.text("path", "/orders"), strings.NewReader(o.text("body", `{"die":"brass"}`)))
		ts.Check(err)
		req.Header.Set("Authorization", "Bearer "+o.text("token", workspaceToken))
		req.Header.Set("Idempotency-Key", key)
		// Without GetBody, net/http cannot retry a request that has an idempotency
		// key, so that each call is sent once.
		req.GetBody = nil
		go group.send(req, key)
	}
	s.mu.Lock()
	s.orders[args[0]] = group
	s.mu.Unlock()
}

// send sends one call and records its outcome. The outcome stays unknown if no complete
// answer is received.
func (g *orders) send(req *http.Request, key string) {
	result, note := outcomeUnknown, "connection lost"
	if res, err := callerClient.Do(req); err == nil {
		body, err := io.ReadAll(io.LimitReader(res.Body, 1<<16))
		res.Body.Close()
		if err == nil {
			result, note = classifyAnswer(res, body)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outcomes[key] = result
	g.answerCounts[note]++
}

// classifyAnswer returns the outcome that an answer stands for and a short description
// of the answer.
func classifyAnswer(res *http.Response, body []byte) (outcome, string) {
	if res.Header.Get("Content-Type") != problem.ContentType {
		if res.StatusCode/100 == 2 {
			return outcomeOK, res.Status
		}
		return outcomeOther, res.Status
	}
	p := &problem.Problem{}
	_ = json.Unmarshal(body, p)
	note := fmt.Sprintf("%d %s %s", res.StatusCode, p.Code, p.Execution)
	switch p.Execution {
	case problem.ExecutionNotRun:
		return outcomeNotRun, note
	case problem.ExecutionUnknown:
		return outcomeUnknown, note
	}
	return outcomeOther, note
}

// field returns the number of calls with the outcome name, or of all for "total".
func (g *orders) field(name string) (string, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if name == "total" {
		return strconv.Itoa(len(g.outcomes)), nil
	}
	count := 0
	for _, o := range g.outcomes {
		if string(o) == name {
			count++
		}
	}
	return strconv.Itoa(count), nil
}

// cmdAudit implements audit: it checks each call of a group against the call logs of
// all services. A call with an answer must have been executed once, one reported as not
// run must not have been executed, and any other at most once. No call may be running.
func cmdAudit(ts *testscript.TestScript, s *scriptState, args []string) {
	group := s.orders[singleName(ts, args)]
	if group == nil {
		ts.Fatalf("unknown order %q", args[0])
	}
	entries, err := s.callLogEntries("*", map[string]string{"event": "executed"})
	ts.Check(err)
	executed := map[string]int{}
	for _, entry := range entries {
		if key, ok := entry["key"].(string); ok {
			executed[key]++
		}
	}
	group.mu.Lock()
	defer group.mu.Unlock()
	var contradictions []string
	counts := map[outcome]int{}
	for key, o := range group.outcomes {
		counts[o]++
		n := executed[key]
		if n > 1 || o == outcomeOK && n != 1 || o == outcomeNotRun && n != 0 || o == outcomeRunning {
			contradictions = append(contradictions, fmt.Sprintf("%s: %s, executed %d times", key, o, n))
		}
	}
	ts.Logf("order %s: outcomes %v, answers %v", args[0], counts, group.answerCounts)
	if len(contradictions) > 0 {
		sort.Strings(contradictions)
		s.failWithDiagnostics(ts, "%d of %d calls contradict the call logs:\n%s", len(contradictions), len(group.outcomes), strings.Join(contradictions, "\n"))
	}
}

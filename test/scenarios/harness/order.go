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

// orderLimit bounds one service call.
const orderLimit = time.Minute

// outcome is what a caller knows of its call.
type outcome string

const (
	ordered outcome = "running"
	// confirmed means that the service's answer arrived.
	confirmed outcome = "ok"
	notRun    outcome = "notrun"
	unknown   outcome = "unknown"
	// other is any other answer; it makes no statement about the execution.
	other outcome = "other"
)

// orders is a group of service calls.
type orders struct {
	cancel context.CancelFunc

	mu    sync.Mutex
	calls map[string]outcome
	notes map[string]int
}

func cmdOrder(ts *testscript.TestScript, s *state, args []string) {
	if len(args) < 1 {
		ts.Fatalf("usage: order NAME key=value...")
	}
	o := parseOptions(ts, args[1:], "n", "path", "method", "body", "key", "via", "token")
	n := o.number("n", 1)
	entries := s.daemons()
	if name := o.text("via", ""); name != "" {
		entries = []string{s.find(ts, name).address}
	}
	if len(entries) == 0 {
		ts.Fatalf("no daemon runs")
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderLimit)
	group := &orders{cancel: cancel, calls: map[string]outcome{}, notes: map[string]int{}}
	prefix := o.text("key", args[0]+"-"+uuid.NewString()[:8])
	for i := range n {
		key := prefix
		if n > 1 {
			key += "-" + strconv.Itoa(i)
		}
		group.mu.Lock()
		group.calls[key] = ordered
		group.mu.Unlock()
		req, err := http.NewRequestWithContext(ctx, o.text("method", "POST"), "http://"+entries[i%len(entries)]+o.text("path", "/orders"), strings.NewReader(o.text("body", `{"die":"brass"}`)))
		ts.Check(err)
		req.Header.Set("Authorization", "Bearer "+o.text("token", workspaceToken))
		req.Header.Set("Idempotency-Key", key)
		// Without this, the client itself would send a keyed call again.
		req.GetBody = nil
		go group.send(req, key)
	}
	s.mu.Lock()
	s.orders[args[0]] = group
	s.mu.Unlock()
}

func (g *orders) send(req *http.Request, key string) {
	what, note := unknown, "connection lost"
	if res, err := callers.Do(req); err == nil {
		body, err := io.ReadAll(io.LimitReader(res.Body, 1<<16))
		res.Body.Close()
		if err == nil {
			what, note = judge(res, body)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls[key] = what
	g.notes[note]++
}

// judge reads what an answer says about the execution.
func judge(res *http.Response, body []byte) (outcome, string) {
	if res.Header.Get("Content-Type") != problem.ContentType {
		if res.StatusCode/100 == 2 {
			return confirmed, res.Status
		}
		return other, res.Status
	}
	p := &problem.Problem{}
	_ = json.Unmarshal(body, p)
	note := fmt.Sprintf("%d %s %s", res.StatusCode, p.Code, p.Ran)
	switch p.Ran {
	case problem.RanNotRun:
		return notRun, note
	case problem.RanUnknown:
		return unknown, note
	}
	return other, note
}

// field returns a figure of the group.
func (g *orders) field(name string) (string, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if name == "total" {
		return strconv.Itoa(len(g.calls)), nil
	}
	count := 0
	for _, o := range g.calls {
		if string(o) == name {
			count++
		}
	}
	return strconv.Itoa(count), nil
}

// cmdAudit checks each call of a group against the logs of all services: a
// confirmed call ran once, one reported as not run did not, any other ran at
// most once.
func cmdAudit(ts *testscript.TestScript, s *state, args []string) {
	group := s.orders[only(ts, args)]
	if group == nil {
		ts.Fatalf("no order is named %q", args[0])
	}
	entries, err := s.calls("*", map[string]string{"event": "executed"})
	ts.Check(err)
	executed := map[string]int{}
	for _, entry := range entries {
		if key, ok := entry["key"].(string); ok {
			executed[key]++
		}
	}
	group.mu.Lock()
	defer group.mu.Unlock()
	var faults []string
	count := map[outcome]int{}
	for key, o := range group.calls {
		count[o]++
		n := executed[key]
		if n > 1 || o == confirmed && n != 1 || o == notRun && n != 0 || o == ordered {
			faults = append(faults, fmt.Sprintf("%s: %s, executed %d times", key, o, n))
		}
	}
	ts.Logf("%s: %v, answers %v", args[0], count, group.notes)
	if len(faults) > 0 {
		sort.Strings(faults)
		s.fail(ts, "%d of %d calls contradict the logs:\n%s", len(faults), len(group.calls), strings.Join(faults, "\n"))
	}
}

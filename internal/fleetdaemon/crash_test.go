package fleetdaemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/standin/runner"
)

const (
	// crashingPart is a part of a prompt that crashes each runner.
	crashingPart = "bad"
	// contactBound is the time after the fifth crash from which maxLateRequests requests
	// with crashingPart may still reach runners.
	contactBound    = 3 * time.Second
	maxLateRequests = 3
	// measuredSpan is the time after contactBound in which requests are counted.
	measuredSpan = 3 * time.Second
)

// crashFleet is a deployment with a pool of runners that crash on crashingPart.
type crashFleet struct {
	*deployment
	processes []*runner.Process
	runners   []*runner.Runner

	mu      sync.Mutex
	results []crashResult
}

// crashResult is the outcome of a request of a client.
type crashResult struct {
	crashing bool
	sentAt   time.Time
	served   bool
}

func startCrashFleet(t *testing.T, daemons, runners int) *crashFleet {
	f := &crashFleet{deployment: startDeployment(t, daemons)}
	for i := range runners {
		r := &runner.Runner{ID: fmt.Sprintf("llm-%d", i), Events: 3, EventInterval: 10 * time.Millisecond, CrashPart: crashingPart}
		p, err := runner.StartProcess(r, 400*time.Millisecond)
		assert.NilError(t, err)
		t.Cleanup(func() { assert.Check(t, p.Close()) })
		r.OnCrash = p.Crash
		f.runners, f.processes = append(f.runners, r), append(f.processes, p)
		f.store.Set("servers", r.ID, map[string]any{
			"service": "llm", "address": p.Address(), "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "seqNo": 1,
		})
	}
	f.store.Set("config", "main", map[string]any{
		"version": 2,
		"routes": []any{map[string]any{
			"name": "chat", "host": "h", "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 1000,
			"service": "llm", "maxAttempts": 2, "streamResume": true, "gapTargetMs": 500, "sessionAffinity": true,
		}},
		"services": []any{map[string]any{"name": "llm", "maxConns": 400}},
		"tenants":  []any{map[string]any{"name": "w", "apiKeys": []string{"key-a"}, "ratePerS": 1e6, "burst": 1e6, "unit": "token_count", "plainTokens": 1}},
	})
	for i := range daemons {
		f.waitFor("service by daemon "+strconv.Itoa(i), func() bool {
			return f.isReady(i) && len(f.resolve(i)) == daemons && f.send(t.Context(), i, "first", "5:100,d0:100,f:1")
		})
	}
	return f
}

// send sends a request with the given prompt to a daemon and reports whether it got a
// whole answer.
func (f *crashFleet) send(ctx context.Context, daemon int, id, prompt string) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.daemons[daemon].settings.CallerAddress+"/chat/1", strings.NewReader("body"))
	if err != nil {
		return false
	}
	request.Host = "h"
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "2000")
	request.Header.Set("X-Token-Usage", "201,15")
	request.Header.Set("X-Prompt-Prefix", prompt)
	request.Header.Set("Authorization", "Bearer key-a")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// run sends requests to a daemon at the interval, each in its turn, until ctx ends.
func (f *crashFleet) run(ctx context.Context, daemon int, interval time.Duration, crashing bool) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var open sync.WaitGroup
	defer open.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		document := "d" + strconv.Itoa(n%4)
		if crashing {
			document = crashingPart
		}
		id := fmt.Sprintf("%d-%t-%d", daemon, crashing, n)
		prompt := fmt.Sprintf("5:100,%s:100,%x:1", document, 1<<20+n<<4+daemon)
		open.Go(func() {
			r := crashResult{crashing: crashing, sentAt: time.Now()}
			r.served = f.send(context.WithoutCancel(ctx), daemon, id, prompt)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.results = append(f.results, r)
		})
	}
}

// fifthCrash returns the time of the fifth crash of a runner, or false before it.
func (f *crashFleet) fifthCrash() (time.Time, bool) {
	var crashes []time.Time
	for _, p := range f.processes {
		crashes = append(crashes, p.Crashes()...)
	}
	if len(crashes) < 5 {
		return time.Time{}, false
	}
	slices.SortFunc(crashes, time.Time.Compare)
	return crashes[4], true
}

// lateRequests counts the requests with crashingPart that reached a runner after from.
func (f *crashFleet) lateRequests(from time.Time) int {
	count := 0
	for _, r := range f.runners {
		for _, e := range r.Executions() {
			if e.StartedAt.After(from) && runner.HasPart(e.Header, crashingPart) {
				count++
			}
		}
	}
	return count
}

// servedShare returns the share of the sound requests sent after from that were served.
func (f *crashFleet) servedShare(from time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sent, served := 0, 0
	for _, r := range f.results {
		if r.crashing || r.sentAt.Before(from) {
			continue
		}
		sent++
		if r.served {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1))
}

// Guards against requests that share one part of their prompts and, arriving at any
// daemon, crash upstream after upstream, so that no other request of the pool is served.
func TestPromptPartThatCrashesUpstreams(t *testing.T) {
	const daemons, runners = 5, 6
	f := startCrashFleet(t, daemons, runners)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var callers sync.WaitGroup
	for i := range daemons {
		callers.Go(func() { f.run(ctx, i, 20*time.Millisecond, false) })
		callers.Go(func() { f.run(ctx, i, 50*time.Millisecond, true) })
	}
	var fifth time.Time
	crashing := time.Now()
	for isBound := false; !isBound; {
		time.Sleep(5 * time.Millisecond)
		if fifth, isBound = f.fifthCrash(); time.Since(crashing) > contactBound {
			// Fewer crashes than five are bounded too.
			break
		}
	}
	if fifth.IsZero() {
		fifth = time.Now()
	}
	from := fifth.Add(contactBound)
	time.Sleep(time.Until(from.Add(measuredSpan)))
	cancel()
	callers.Wait()
	late, served := f.lateRequests(from), f.servedShare(from)
	t.Logf("%d crashing requests reached runners later than %s after the fifth crash; %.3f of the sound ones were served", late, contactBound, served)
	assert.Check(t, late <= maxLateRequests, "%d late requests", late)
	assert.Check(t, served >= 0.95, "%.3f of the sound requests were served", served)
}

package fleetdaemon

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/standin/runner"
)

const (
	// crashesToKnow is the number of crashes after which, from contactBound on, at most
	// maxLateRequests requests that caused them may reach upstreams.
	crashesToKnow = 3
	// minServedShare is the least share of the other requests that is served from then on.
	minServedShare = 0.99
)

// requestCrashFleet is a deployment with plain services that crash on one body.
type requestCrashFleet struct {
	*plainFleet
	kind string

	mu sync.Mutex
	// others are the outcomes of the other requests.
	others []requestOutcome
}

// requestOutcome is the status of a request that was sent at a time; 0 if it failed.
type requestOutcome struct {
	sentAt time.Time
	status int
}

func startRequestCrashFleet(t *testing.T, daemons, runners int, kind, body string) *requestCrashFleet {
	f := &requestCrashFleet{plainFleet: startPlainFleet(t, daemons, runners), kind: kind}
	for i, r := range f.runners {
		// They are not used before the fleet has started to use the route below.
		r.CrashBody, r.EventInterval, r.OnCrash = body, 10*time.Millisecond, f.processes[i].Crash
	}
	f.store.Set("config", "main", map[string]any{
		"version": 2,
		"routes": []any{map[string]any{
			"name": "r", "host": "h", "pathPrefix": "/x/", "kind": kind, "timeoutMs": 2000, "targetLatencyMs": 1000, "service": "app", "maxAttempts": 2,
		}},
		"services": []any{map[string]any{"name": "app", "maxConns": 400}},
		"tenants":  []any{map[string]any{"name": "w", "apiKeys": []string{"key-a"}, "ratePerS": 1e6, "burst": 1e6, "unit": "token_count", "plainTokens": 1}},
	})
	for i := range daemons {
		f.waitFor("the configuration", func() bool {
			config, _ := f.daemons[i].holder.Current()
			return config.Version == 2
		})
	}
	return f
}

// send sends a request to a daemon and returns the status, or 0 if it fails.
func (f *requestCrashFleet) send(daemon int, id, path, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.daemons[daemon].settings.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = "h"
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "2000")
	request.Header.Set("Authorization", "Bearer key-a")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// run sends a request to a daemon at an interval until ctx ends. make returns the path and
// the body of the request with a number.
func (f *requestCrashFleet) run(ctx context.Context, daemon int, interval time.Duration, prefix string, make func(n int) (path, body string)) {
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
		open.Go(func() {
			path, body := make(n)
			outcome := requestOutcome{sentAt: time.Now()}
			outcome.status = f.send(daemon, fmt.Sprintf("%s-%d-%d", prefix, daemon, n), path, body)
			if prefix != "crashing" {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.others = append(f.others, outcome)
			}
		})
	}
}

// othersAfter returns the share of the other requests sent after a time that was served, and
// the number that was refused as if they crashed upstreams.
func (f *requestCrashFleet) othersAfter(from time.Time) (served float64, refused int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	sent, ok := 0, 0
	for _, o := range f.others {
		if o.status == http.StatusUnprocessableEntity {
			refused++
		}
		if o.sentAt.After(from) {
			sent++
			if o.status == http.StatusOK {
				ok++
			}
		}
	}
	return float64(ok) / float64(max(1, sent)), refused
}

// crashes returns the times of all crashes, in order.
func (f *requestCrashFleet) crashes() []time.Time {
	var all []time.Time
	for _, p := range f.processes {
		all = append(all, p.Crashes()...)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// Guards against a request without shared parts of a prompt that crashes one upstream after
// the other, because the daemons do not recognize it when it comes again; and against other
// requests that were lost with it and are refused as if they did, rare ones and one that many
// callers send.
func TestCrashingRequestIsKeptAway(t *testing.T) {
	for _, c := range []struct{ name, kind, body string }{
		{"repeatable", "idempotent", "poison"},
		{"large", "idempotent", strings.Repeat("poison", 3500)},
		{"at most once", "non_idempotent", "poison"},
	} {
		t.Run(c.name, func(t *testing.T) {
			const daemons, runners = 4, 6
			f := startRequestCrashFleet(t, daemons, runners, c.kind, c.body)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var callers sync.WaitGroup
			for i := range daemons {
				callers.Go(func() {
					f.run(ctx, i, 300*time.Millisecond, "crashing", func(int) (string, string) { return "/x/poison", c.body })
				})
				callers.Go(func() {
					f.run(ctx, i, 20*time.Millisecond, "rare", func(n int) (string, string) { return fmt.Sprintf("/x/%d-%d", i, n), "body" })
				})
				callers.Go(func() {
					f.run(ctx, i, 20*time.Millisecond, "popular", func(int) (string, string) { return "/x/popular", "same" })
				})
			}
			f.waitFor("crashes", func() bool { return len(f.crashes()) >= crashesToKnow })
			from := f.crashes()[crashesToKnow-1].Add(contactBound)
			time.Sleep(time.Until(from.Add(2 * measuredSpan)))
			cancel()
			callers.Wait()
			late := 0
			for _, r := range f.runners {
				late += f.crashingArrivals(r, from)
			}
			share, refused := f.othersAfter(from)
			t.Logf("%d late requests, %d crashes, %.4f of the others served, %d refused", late, len(f.crashes()), share, refused)
			assert.Check(t, late <= maxLateRequests, "%d requests that crash upstreams were sent later than %s after the third crash", late, contactBound)
			assert.Check(t, share >= minServedShare, "%.4f of the other requests were served", share)
			assert.Check(t, refused == 0, "%d other requests were refused for good", refused)
		})
	}
}

// crashingArrivals returns the number of requests that crash upstreams and reached a runner
// after a time.
func (f *requestCrashFleet) crashingArrivals(r *runner.Runner, from time.Time) int {
	count := 0
	for _, a := range r.Arrivals() {
		if a.At.After(from) && strings.HasPrefix(a.AttemptID, "crashing-") {
			count++
		}
	}
	return count
}

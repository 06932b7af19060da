package fleetdaemon

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/standin/tcplink"
)

// firstTry is the first try of a caller's request.
type firstTry struct {
	id, route string
	daemon    int
	sentAt    time.Time
	status    int
	// isWhole reports whether the whole answer arrived.
	isWhole bool
	took    time.Duration
}

// served reports whether the try succeeded within the caller's objective.
func (f firstTry) served() bool { return f.status == http.StatusOK && f.isWhole }

// callers send first tries to each daemon at a steady rate.
type callers struct {
	s  *deployment
	wg sync.WaitGroup
	// target is the number of daemons, the first ones, that get tries.
	target atomic.Int64

	mu    sync.Mutex
	tries []firstTry
}

var pathRoutes = []string{"lookup", "order", "chat"}

// run sends a first try to each daemon per interval until ctx ends, and waits for all answers.
func (c *callers) run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			c.wg.Wait()
			return
		case <-ticker.C:
		}
		for i := range int(c.target.Load()) {
			f := firstTry{id: "t-" + strconv.Itoa(n) + "-" + strconv.Itoa(i), route: pathRoutes[n%len(pathRoutes)], daemon: i}
			c.wg.Go(func() { c.send(f) })
		}
	}
}

// send sends one first try and records it.
func (c *callers) send(f firstTry) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	method := http.MethodGet
	if f.route == "order" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.s.daemons[f.daemon].settings.CallerAddress+"/"+f.route+"/1", nil)
	if err != nil {
		panic(err)
	}
	request.Host = "h"
	request.Header.Set("X-Attempt-Id", f.id)
	request.Header.Set("X-Deadline-Ms", "4000")
	request.Header.Set("Authorization", "Bearer key-a")
	f.sentAt = time.Now()
	if response, err := http.DefaultClient.Do(request); err == nil {
		f.status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
		f.isWhole = err == nil
		_ = response.Body.Close()
	}
	f.took = time.Since(f.sentAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tries = append(c.tries, f)
}

// share returns the number of tries between two times at the daemons that match, and how many
// of them were served.
func (c *callers) share(from, to time.Time, match func(daemon int) bool) (served, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.tries {
		if f.sentAt.Before(from) || !f.sentAt.Before(to) || !match(f.daemon) {
			continue
		}
		total++
		if f.served() {
			served++
		}
	}
	return served, total
}

// ranTwice returns the requests that must not run more than once but did.
func (c *callers) ranTwice(executions map[string]int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, f := range c.tries {
		if f.route == "order" && executions[f.id] > 1 {
			out = append(out, f.id)
		}
	}
	return out
}

// statuses counts the tries by status.
func (c *callers) statuses() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[int]int{}
	for _, f := range c.tries {
		out[f.status]++
	}
	return out
}

// brokenPromises returns the requests that ran although a status said that they never would.
func (c *callers) brokenPromises(executions map[string]int) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, f := range c.tries {
		promised := f.status == http.StatusServiceUnavailable || f.status == http.StatusTooManyRequests
		if promised && executions[f.id] > 0 {
			out = append(out, f.id)
		}
	}
	return out
}

// Guards against callers of daemons that have lost their path to all upstreams, and only to
// them, being served far worse than those of the other daemons.
func TestCallersOfDaemonsWithoutUpstreamsAreServed(t *testing.T) {
	for name, fault := range map[string]tcplink.PathFault{"hang": tcplink.PathHangs, "reset": tcplink.PathResets, "refuse new": tcplink.PathRefusesNew} {
		t.Run(name, func(t *testing.T) { testLostPath(t, fault) })
	}
}

func testLostPath(t *testing.T, fault tcplink.PathFault) {
	const (
		daemons  = 5
		cutCount = 3
		// contactTime is how long a disturbance may excuse failures, cutTime how long the
		// path is lost, and healTime the time after it in which it must be used again.
		contactTime = 3 * time.Second
		cutTime     = 7 * time.Second
		healTime    = time.Second
	)
	paths := newUpstreamPaths(t)
	s := startPathDeployment(t, paths, daemons)
	c := &callers{s: s}
	c.target.Store(daemons)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run(ctx, 40*time.Millisecond)
	}()
	isCut := func(i int) bool { return i < cutCount }
	isOther := func(i int) bool { return i >= cutCount }
	<-time.After(2 * time.Second)
	cutAt := time.Now()
	for i := range cutCount {
		paths.Set(i, fault)
	}
	<-time.After(cutTime)
	listed := make([][]string, daemons)
	for i := range daemons {
		listed[i] = s.resolve(i)
	}
	healedAt := time.Now()
	for i := range cutCount {
		paths.Set(i, tcplink.PathSound)
	}
	<-time.After(healTime + time.Second)
	stop()
	<-done

	check := func(what string, from, to time.Time, match func(int) bool) {
		t.Helper()
		served, total := c.share(from, to, match)
		t.Logf("%s: %d of %d first tries served", what, served, total)
		assert.Check(t, total > 0 && (total-served)*50 <= total+50, "%s: %d of %d first tries served", what, served, total)
	}
	served, total := c.share(cutAt, cutAt.Add(contactTime), isCut)
	t.Logf("cut daemons, while the cut may excuse them: %d of %d served", served, total)
	check("cut daemons", cutAt.Add(contactTime), healedAt, isCut)
	check("others", cutAt, healedAt, isOther)
	check("after the cut", healedAt.Add(healTime), time.Now(), func(int) bool { return true })
	executions := paths.executions()
	assert.Check(t, len(c.ranTwice(executions)) == 0, "ran twice: %v", c.ranTwice(executions))
	assert.Check(t, len(c.brokenPromises(executions)) == 0, "refused, but ran: %v", c.brokenPromises(executions))
	if fault == tcplink.PathRefusesNew {
		return
	}
	for i, addresses := range listed {
		for cut := range cutCount {
			assert.Check(t, !slices.Contains(addresses, s.daemons[cut].settings.CallerAddress), "daemon %d lists daemon %d, which reaches no upstream", i, cut)
		}
		assert.Check(t, len(addresses) == daemons-cutCount, "daemon %d lists %v", i, addresses)
	}
}

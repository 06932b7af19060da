package caller

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// deadline is how long a caller waits for an answer.
const deadline = 4 * time.Second

// Route is a kind of requests.
type Route struct {
	// Name is the first part of the path.
	Name   string
	Method string
	// RunsOnce is set if a request must not run more than once.
	RunsOnce bool
}

// Try is the first try of a request.
type Try struct {
	ID     string
	Route  Route
	Daemon int
	SentAt time.Time
	// Status is 0 if no response arrived. IsWhole reports whether all of it did.
	Status  int
	IsWhole bool
}

// IsServed reports whether the try succeeded.
func (t Try) IsServed() bool { return t.Status == http.StatusOK && t.IsWhole }

// promisesNotRun reports whether the response says that the request will never run.
func (t Try) promisesNotRun() bool {
	return t.Status == http.StatusServiceUnavailable || t.Status == http.StatusTooManyRequests
}

// Callers send tries to the daemons at the addresses, of each route in turn. It is safe for
// concurrent use. The fields must be set before Run.
type Callers struct {
	// Addresses are those of the daemons for callers.
	Addresses []string
	// Host and Key are sent with each request.
	Host, Key string
	Routes    []Route

	// skipped is the number of daemons, the last ones, that get no tries any more.
	skipped atomic.Int64
	open    sync.WaitGroup

	mu    sync.Mutex
	tries []Try
}

// Skip makes the last count daemons get no further tries.
func (c *Callers) Skip(count int) { c.skipped.Store(int64(count)) }

// Run sends a try to each daemon per interval until ctx ends, and waits for all answers.
func (c *Callers) Run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	defer c.open.Wait()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for i := range len(c.Addresses) - int(c.skipped.Load()) {
			t := Try{ID: "t-" + strconv.Itoa(n) + "-" + strconv.Itoa(i), Route: c.Routes[n%len(c.Routes)], Daemon: i}
			c.open.Go(func() { c.send(t) })
		}
	}
}

// send sends a try and records it.
func (c *Callers) send(t Try) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	t.SentAt = time.Now()
	if response, err := c.do(ctx, t); err == nil {
		t.Status = response.StatusCode
		_, err = io.Copy(io.Discard, response.Body)
		t.IsWhole = err == nil
		_ = response.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tries = append(c.tries, t)
}

func (c *Callers) do(ctx context.Context, t Try) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, t.Route.Method, "http://"+c.Addresses[t.Daemon]+"/"+t.Route.Name+"/1", nil)
	if err != nil {
		return nil, err
	}
	request.Host = c.Host
	request.Header.Set("X-Attempt-Id", t.ID)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+c.Key)
	return http.DefaultClient.Do(request)
}

// Served returns the number of tries that were sent between two times to the daemons that
// match, and how many of them were served.
func (c *Callers) Served(from, to time.Time, match func(daemon int) bool) (served, total int) {
	for _, t := range c.answered() {
		if t.SentAt.Before(from) || !t.SentAt.Before(to) || !match(t.Daemon) {
			continue
		}
		total++
		if t.IsServed() {
			served++
		}
	}
	return served, total
}

// answered returns the tries that have ended.
func (c *Callers) answered() []Try {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.tries)
}

// Statuses counts the tries by status.
func (c *Callers) Statuses() map[int]int {
	out := map[int]int{}
	for _, t := range c.answered() {
		out[t.Status]++
	}
	return out
}

// Violations returns, given how often each request ran, the requests that ran more often than
// they may, and those that ran although the response said that they never would.
func (c *Callers) Violations(executions map[string]int) (ranTwice, brokenPromises []string) {
	for _, t := range c.answered() {
		if t.Route.RunsOnce && executions[t.ID] > 1 {
			ranTwice = append(ranTwice, t.ID)
		}
		if t.promisesNotRun() && executions[t.ID] > 0 {
			brokenPromises = append(brokenPromises, t.ID)
		}
	}
	return ranTwice, brokenPromises
}

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id, path, daemon string
	sentAt           time.Time
	// status is 0 if no complete answer arrived.
	status int
	sealed bool
}

// clients send requests and collect their answers. It is safe for concurrent use.
type clients struct {
	deployment *deployment
	record     *record
	deadline   time.Duration
	// prefix distinguishes the attempts of several clients, and padding is sent in a header of
	// its own.
	prefix, padding string
	http            *http.Client
	open            sync.WaitGroup

	mu      sync.Mutex
	count   int
	answers []answer
}

func newClients(d *deployment, rec *record, deadline time.Duration) *clients {
	return &clients{deployment: d, record: rec, deadline: deadline, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// send sends a request to a daemon and does not wait for its answer.
func (c *clients) send(method, path string, to int) {
	c.mu.Lock()
	c.count++
	a := answer{id: fmt.Sprintf("%sr%06d", c.prefix, c.count), path: path, daemon: c.deployment.daemons[to].name, sentAt: time.Now()}
	c.mu.Unlock()
	c.open.Go(func() {
		c.do(&a, method, to)
		c.record.add("answer %s %s from %s: status %d, seal %t", a.id, path, a.daemon, a.status, a.sealed)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.answers = append(c.answers, a)
	})
}

func (c *clients) do(a *answer, method string, to int) {
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	address := fmt.Sprintf("http://%s:%d%s", c.deployment.daemons[to].ip, c.deployment.port, a.path)
	request, err := http.NewRequestWithContext(ctx, method, address, nil)
	if err != nil {
		return
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", a.id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	if c.padding != "" {
		request.Header.Set("X-Notes", c.padding)
	}
	c.record.add("send %s %s to %s", a.id, a.path, a.daemon)
	response, err := c.http.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return
	}
	a.status, a.sealed = response.StatusCode, response.Header.Get("X-Response-Seal") != ""
}

// between returns the answers to requests that were sent between two times.
func (c *clients) between(from, to time.Time) []answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []answer
	for _, a := range c.answers {
		if !a.sentAt.Before(from) && a.sentAt.Before(to) {
			out = append(out, a)
		}
	}
	return out
}

// statuses counts answers by status.
func statuses(answers []answer) map[int]int {
	out := map[int]int{}
	for _, a := range answers {
		out[a.status]++
	}
	return out
}

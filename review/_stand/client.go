package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	apiKey         = "key-of-the-kitchens"
	hostName       = "booking.example"
	clientDeadline = 4 * time.Second
	connectTimeout = time.Second
)

// routeLoad is a route and its share of the traffic.
type routeLoad struct {
	path, service string
	idempotent    bool
	// isModel marks a streaming route that may be resumed.
	isModel bool
	share   float64
}

// clients sends requests at a constant rate to the addresses that the directory names.
type clients struct {
	r         *run
	routes    []routeLoad
	transport *http.Transport

	mu        sync.Mutex
	addresses []string
	sent      map[string]sentRequest
	statuses  map[int]int
	open      sync.WaitGroup
}

// sentRequest is an attempt of a client.
type sentRequest struct {
	at      time.Time
	address string
	// status is that of the answer, or 0 without one.
	status int
}

func (r *run) startClients(ctx context.Context, rate int, routes []routeLoad) *clients {
	c := &clients{
		r: r, routes: routes, transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100, IdleConnTimeout: 5 * time.Second},
		sent: map[string]sentRequest{}, statuses: map[int]int{},
	}
	c.resolve()
	go c.keepResolving(ctx)
	c.open.Go(func() { c.send(ctx, rate) })
	return c
}

// resolve asks a daemon for the addresses.
func (c *clients) resolve() {
	for _, i := range rand.Perm(len(c.r.daemons)) {
		d := c.r.daemons[i]
		response, err := readinessClient.Get("http://" + c.r.directoryAddress(d) + "/resolve?name=" + hostName + "&region=region-a&zone=zone-a")
		if err != nil {
			continue
		}
		var body struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(response.Body).Decode(&body)
		response.Body.Close()
		if err == nil && len(body.Addresses) > 0 {
			c.mu.Lock()
			c.addresses = body.Addresses
			c.mu.Unlock()
			return
		}
	}
}

func (c *clients) keepResolving(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Second)
		c.resolve()
	}
}

func (c *clients) send(ctx context.Context, rate int) {
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.open.Go(c.request)
		}
	}
}

// request makes one request, and repeats it once where that is allowed.
func (c *clients) request() {
	route := c.pickRoute()
	deadline := time.Now().Add(clientDeadline)
	status, retryAfter := c.attempt(route, deadline)
	notRun := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
	if notRun || (route.idempotent || route.isModel) && (status == 0 || status >= 500) {
		time.Sleep(min(retryAfter, time.Until(deadline)/3))
		c.attempt(route, deadline)
	}
}

func (c *clients) pickRoute() routeLoad {
	at := rand.Float64()
	for _, route := range c.routes {
		if at < route.share {
			return route
		}
		at -= route.share
	}
	return c.routes[0]
}

// attempt sends one attempt and returns the status of the answer, or 0 without one.
func (c *clients) attempt(route routeLoad, deadline time.Time) (status int, retryAfter time.Duration) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	id := fmt.Sprintf("%016x", rand.Uint64())
	method, body := http.MethodPost, io.Reader(strings.NewReader("{\"order\":1}"))
	if route.idempotent {
		method, body = http.MethodGet, nil
	}
	c.mu.Lock()
	address := c.addresses[rand.IntN(len(c.addresses))]
	c.sent[id] = sentRequest{at: time.Now(), address: address}
	c.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+route.path, body)
	if err != nil {
		return 0, 0
	}
	request.Host = hostName
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(time.Until(deadline).Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	if route.isModel {
		request.Header.Set("X-Model", "m")
		request.Header.Set("X-Token-Usage", "1460,100")
		request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:800,%x:410,%x:250", 0x91bd3f00+rand.IntN(20), rand.Uint32()))
	}
	c.r.logf("sent %s %s to %s", id, route.path, address)
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		c.finish(id, 0, err)
		c.exclude(address)
		return 0, 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		c.finish(id, 0, err)
		return 0, 0
	}
	c.finish(id, response.StatusCode, nil)
	var seconds float64
	_, _ = fmt.Sscanf(response.Header.Get("Retry-After"), "%f", &seconds)
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}

// exclude drops an address that has failed until the addresses are asked for again.
func (c *clients) exclude(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	remaining := slices.DeleteFunc(slices.Clone(c.addresses), func(a string) bool { return a == address })
	if len(remaining) > 0 {
		c.addresses = remaining
	}
}

func (c *clients) finish(id string, status int, err error) {
	c.mu.Lock()
	c.statuses[status]++
	sent := c.sent[id]
	sent.status = status
	c.sent[id] = sent
	c.mu.Unlock()
	if err != nil {
		c.r.logf("answered %s with no answer: %v", id, err)
		return
	}
	c.r.logf("answered %s with %d", id, status)
}

// logStatuses records how many attempts ended with which status; 0 means no answer.
func (c *clients) logStatuses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.r.logf("attempts by status (0: no answer): %v", c.statuses)
}

// Package platformcloud simulates the cloud API of the platform: it accepts usage
// reports and orders of upstreams, and refuses stale fencing tokens.
package platformcloud

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
)

// Report is an accepted usage report. Counts are the numbers of requests by workspace
// that started in the window with the number Window. Holder and Fence come from the
// headers X-Duty-Holder and X-Fencing-Token.
type Report struct {
	Window int64
	Holder string
	Fence  int64
	Counts map[string]int64
}

// Order is an accepted order of upstreams: the desired number of upstreams of a
// service in a zone.
type Order struct {
	Service     string `json:"service"`
	Zone        string `json:"zone"`
	Desired     int    `json:"desired"`
	Preemptible bool   `json:"preemptible"`
}

// Cloud simulates the cloud API. It is an http.Handler and safe for concurrent use.
type Cloud struct {
	mu        sync.Mutex
	maxFences map[string]int64
	reports   []Report
	orders    []Order
}

// New returns a Cloud that has accepted no reports and no orders.
func New() *Cloud { return &Cloud{maxFences: map[string]int64{}} }

// Reports returns a copy of the accepted usage reports, in the order of arrival.
func (c *Cloud) Reports() []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Report(nil), c.reports...)
}

// Orders returns a copy of the accepted orders, in the order of arrival.
func (c *Cloud) Orders() []Order {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Order(nil), c.orders...)
}

// ServeHTTP serves usage reports at /usage and orders at /scale.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fence, err := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	holder := r.Header.Get("X-Duty-Holder")
	if err != nil || holder == "" || r.Method != http.MethodPost {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.URL.Path {
	case "/usage":
		var body struct {
			WindowID int64            `json:"windowId"`
			Counts   map[string]int64 `json:"counts"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if c.acceptLocked(w, "usage", fence) {
			c.reports = append(c.reports, Report{Window: body.WindowID, Holder: holder, Fence: fence, Counts: body.Counts})
		}
	case "/scale":
		var order Order
		if json.NewDecoder(r.Body).Decode(&order) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if c.acceptLocked(w, order.Service+"/"+order.Zone, fence) {
			c.orders = append(c.orders, order)
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// acceptLocked reports whether the fencing token is at least the highest one that
// was accepted for this subject, and records it. If it is lower, acceptLocked
// responds with status 409. The caller holds c.mu.
func (c *Cloud) acceptLocked(w http.ResponseWriter, subject string, fence int64) bool {
	if fence < c.maxFences[subject] {
		w.WriteHeader(http.StatusConflict)
		return false
	}
	c.maxFences[subject] = fence
	return true
}

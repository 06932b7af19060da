// Package platformcloud is a stand-in for the platform's cloud API: it takes usage
// reports and orders of upstreams, and refuses old fencing tokens.
package platformcloud

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
)

// Report is a usage report that was accepted.
type Report struct {
	Window int64
	Holder string
	Fence  int64
	Counts map[string]int64
}

// Order is an order of upstreams that was accepted.
type Order struct {
	Service     string `json:"service"`
	Zone        string `json:"zone"`
	Desired     int    `json:"desired"`
	Preemptible bool   `json:"preemptible"`
}

// Cloud implements http.Handler. It is safe for concurrent use.
type Cloud struct {
	mu      sync.Mutex
	fences  map[string]int64
	reports []Report
	orders  []Order
}

// New returns a Cloud without a past.
func New() *Cloud { return &Cloud{fences: map[string]int64{}} }

// Reports returns the accepted usage reports, in order.
func (c *Cloud) Reports() []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Report(nil), c.reports...)
}

// Orders returns the accepted orders, in order.
func (c *Cloud) Orders() []Order {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Order(nil), c.orders...)
}

// ServeHTTP implements http.Handler.
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
		if c.accept(w, "usage", fence) {
			c.reports = append(c.reports, Report{Window: body.WindowID, Holder: holder, Fence: fence, Counts: body.Counts})
		}
	case "/scale":
		var order Order
		if json.NewDecoder(r.Body).Decode(&order) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if c.accept(w, order.Service+"/"+order.Zone, fence) {
			c.orders = append(c.orders, order)
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// accept checks the fencing token of a subject. The lock is held.
func (c *Cloud) accept(w http.ResponseWriter, subject string, fence int64) bool {
	if fence < c.fences[subject] {
		w.WriteHeader(http.StatusConflict)
		return false
	}
	c.fences[subject] = fence
	return true
}

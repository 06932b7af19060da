package soak

import (
	"context"
	"net/http"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"rattantide/internal/proc"
)

// startBenchFleet builds the program and starts a fleet of the given number of
// nodes.
func startBenchFleet(b *testing.B, nodes int) *fleet {
	dir := b.TempDir()
	if err := proc.Build(b.Context(), dir); err != nil {
		b.Fatal(err)
	}
	return startFleet(b, filepath.Join(dir, "rattantide-gateway"), nodes)
}

// isReady reports whether the node's readiness listener answers with status 200.
func (f *fleet) isReady(n *node) bool {
	response, err := http.Get("http://" + n.ip + ":" + strconv.Itoa(f.port+1) + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// residentMiB returns the resident memory of the node's process in MiB.
func (n *node) residentMiB(b *testing.B) float64 {
	usage, err := n.currentProcess().Usage()
	if err != nil {
		b.Fatal(err)
	}
	return float64(usage.ResidentBytes) / (1 << 20)
}

// BenchmarkStartToReady measures the time from the start of a process until it is
// ready, while the store is available.
func BenchmarkStartToReady(b *testing.B) {
	f := startBenchFleet(b, 1)
	n := f.nodes[0]
	for b.Loop() {
		n.currentProcess().Kill()
		f.startNode(n)
		for !f.isReady(n) {
			time.Sleep(time.Millisecond)
		}
	}
}

// BenchmarkMemory300Streams measures the resident memory of an idle daemon and of
// one with 300 open streams.
func BenchmarkMemory300Streams(b *testing.B) {
	f := startBenchFleet(b, 1)
	n := f.nodes[0]
	for _, r := range f.runners {
		if r.Events > 0 {
			r.Events, r.EventInterval = 100_000, 20*time.Millisecond
		}
	}
	for !f.isReady(n) {
		time.Sleep(time.Millisecond)
	}
	idle := n.residentMiB(b)
	for b.Loop() {
		ctx, cancel := context.WithCancel(context.Background())
		var streams sync.WaitGroup
		c := &clients{fleet: f}
		for i := range 300 {
			streams.Go(func() {
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
				c.send(ctx, client, n, "m"+strconv.Itoa(i), "chat", validKey)
			})
		}
		// Gives all streams time to open.
		time.Sleep(1500 * time.Millisecond)
		b.ReportMetric(n.residentMiB(b), "MB-300-streams")
		cancel()
		streams.Wait()
	}
	b.ReportMetric(idle, "MB-idle")
}

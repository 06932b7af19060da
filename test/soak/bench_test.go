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

// buildForBench returns a fleet without daemons and the program.
func buildForBench(b *testing.B, nodes int) *fleet {
	dir := b.TempDir()
	if err := proc.Build(b.Context(), dir); err != nil {
		b.Fatal(err)
	}
	return startFleet(b, filepath.Join(dir, "rattantide-gateway"), nodes)
}

func (f *fleet) ready(n *node) bool {
	answer, err := http.Get("http://" + n.ip + ":" + strconv.Itoa(f.port+1) + "/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// residentMB returns the resident memory of a node's process.
func (n *node) residentMB(b *testing.B) float64 {
	used, err := n.current().Usage()
	if err != nil {
		b.Fatal(err)
	}
	return float64(used.Resident) / (1 << 20)
}

// BenchmarkStartToReady measures the time from a process's start to readiness, with
// the store up.
func BenchmarkStartToReady(b *testing.B) {
	f := buildForBench(b, 1)
	n := f.nodes[0]
	for b.Loop() {
		n.current().Kill()
		f.start(n)
		for !f.ready(n) {
			time.Sleep(time.Millisecond)
		}
	}
}

// BenchmarkMemory300Streams measures the resident memory idle and with 300 open
// streams.
func BenchmarkMemory300Streams(b *testing.B) {
	f := buildForBench(b, 1)
	n := f.nodes[0]
	for _, r := range f.runners {
		if r.Events > 0 {
			r.Events, r.Gap = 100_000, 20*time.Millisecond
		}
	}
	for !f.ready(n) {
		time.Sleep(time.Millisecond)
	}
	idle := n.residentMB(b)
	for b.Loop() {
		ctx, stop := context.WithCancel(context.Background())
		var streams sync.WaitGroup
		c := &clients{fleet: f}
		for i := range 300 {
			streams.Go(func() {
				client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
				c.send(ctx, client, n, "m"+strconv.Itoa(i), "chat", keptKey)
			})
		}
		time.Sleep(1500 * time.Millisecond)
		b.ReportMetric(n.residentMB(b), "MB-300-streams")
		stop()
		streams.Wait()
	}
	b.ReportMetric(idle, "MB-idle")
}

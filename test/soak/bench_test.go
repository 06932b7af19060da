package soak

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
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

// residentKB returns the resident memory of a node's process.
func (n *node) residentKB(b *testing.B) float64 {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(n.command.Process.Pid) + "/status")
	if err != nil {
		b.Fatal(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, err := strconv.ParseFloat(fields[1], 64)
			if err != nil {
				b.Fatal(err)
			}
			return kb
		}
	}
	b.Fatal("no VmRSS")
	return 0
}

// BenchmarkStartToReady measures the time from a process's start to readiness, with
// the store up.
func BenchmarkStartToReady(b *testing.B) {
	f := buildForBench(b, 1)
	n := f.nodes[0]
	for b.Loop() {
		n.kill()
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
	idle := n.residentKB(b)
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
		b.ReportMetric(n.residentKB(b)/1024, "MB-300-streams")
		stop()
		streams.Wait()
	}
	b.ReportMetric(idle/1024, "MB-idle")
}

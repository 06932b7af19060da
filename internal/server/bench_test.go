package server

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	benchTick   = 10 * time.Millisecond
	benchEvents = 200
)

// pacedEngine sends one event per stream and tick, as engines with continuous
// batching do. Without pacing, many events would share one read and one write.
type pacedEngine struct {
	*httptest.Server
	mu   sync.Mutex
	next chan struct{}
	open atomic.Int64
	stop chan struct{}
}

func newPacedEngine(b *testing.B) *pacedEngine {
	e := &pacedEngine{next: make(chan struct{}), stop: make(chan struct{})}
	e.Server = httptest.NewServer(e)
	ticker := time.NewTicker(benchTick)
	go func() {
		for {
			select {
			case <-ticker.C:
				e.mu.Lock()
				close(e.next)
				e.next = make(chan struct{})
				e.mu.Unlock()
			case <-e.stop:
				return
			}
		}
	}()
	b.Cleanup(func() {
		ticker.Stop()
		e.CloseClientConnections()
		e.Close()
		close(e.stop)
	})
	return e
}

func (e *pacedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Method != http.MethodPost {
		return
	}
	e.open.Add(1)
	defer e.open.Add(-1)
	for i := 1; i <= benchEvents; i++ {
		e.mu.Lock()
		next := e.next
		e.mu.Unlock()
		select {
		case <-next:
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"chatcmpl-1\",\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"brief\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\" word\"},\"finish_reason\":null}]}\n\n", i)
		w.(http.Flusher).Flush()
	}
	io.WriteString(w, "data: [DONE]\n\n")
}

func benchPost(b *testing.B, client *http.Client, url string) *http.Response {
	request, _ := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", bytes.NewReader([]byte(streamBody)))
	request.Header.Set("Authorization", "Bearer "+testToken)
	response, err := client.Do(request)
	if err != nil {
		b.Error(err)
		return nil
	}
	return response
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRelay measures the CPU time per event. The direct case has the same
// caller and engine without the server. The difference, reported as
// added-ns/event, is the cost of the server, and events/s/core is the rate that
// one core relays at that cost.
func BenchmarkRelay(b *testing.B) {
	const streams = 200
	engine := newPacedEngine(b)
	pool := &fakePool{}
	pool.add("engine", "v1", engine.URL)
	h := newHarness(b, pool, nil)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	defer client.CloseIdleConnections()
	run := func(b *testing.B, url string) float64 {
		rounds := max(1, b.N/(streams*benchEvents))
		startCPU, started := cpuTime(), time.Now()
		for range rounds {
			var group sync.WaitGroup
			for range streams {
				group.Go(func() {
					if response := benchPost(b, client, url); response != nil {
						_, _ = io.Copy(io.Discard, response.Body)
						response.Body.Close()
					}
				})
			}
			group.Wait()
		}
		events := float64(rounds * streams * benchEvents)
		perEvent := float64(cpuTime()-startCPU) / events
		b.ReportMetric(perEvent, "cpu-ns/event")
		b.ReportMetric(events/time.Since(started).Seconds(), "events/s")
		return perEvent
	}
	var direct float64
	b.Run("direct", func(b *testing.B) { direct = run(b, engine.URL) })
	b.Run("relayed", func(b *testing.B) {
		added := run(b, h.http.URL) - direct
		b.ReportMetric(added, "added-ns/event")
		b.ReportMetric(1e9/max(added, 1), "events/s/core")
	})
}

// BenchmarkOpenStreams measures the memory of 1,000 open streams, in units of
// 1 MiB. The direct case has the same callers and engine without the server.
// buffers-MB is the memory that the journal accounts for bodies and events;
// added-MB includes it.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 1000
	engine := newPacedEngine(b)
	pool := &fakePool{}
	pool.add("engine", "v1", engine.URL)
	h := newHarness(b, pool, nil)
	run := func(b *testing.B, url string) float64 {
		client := &http.Client{Transport: &http.Transport{}}
		var used float64
		for b.Loop() {
			before := memory()
			responses := make(chan *http.Response, streams)
			var group sync.WaitGroup
			for range streams {
				group.Go(func() { responses <- benchPost(b, client, url) })
			}
			group.Wait()
			close(responses)
			used = max(used, memory()-before)
			b.ReportMetric(float64(h.journal.ChargedBytes())/(1<<20), "buffers-MB")
			for response := range responses {
				if response != nil {
					_, _ = io.Copy(io.Discard, response.Body)
					response.Body.Close()
				}
			}
			client.CloseIdleConnections()
		}
		b.ReportMetric(used/(1<<20), "MB")
		return used
	}
	var direct float64
	b.Run("direct", func(b *testing.B) { direct = run(b, engine.URL) })
	b.Run("relayed", func(b *testing.B) {
		b.ReportMetric((run(b, h.http.URL)-direct)/(1<<20), "added-MB")
	})
}

func memory() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// BenchmarkFirstToken measures the time to the first event of an engine that
// answers at once, directly and through the server.
func BenchmarkFirstToken(b *testing.B) {
	engine := newFakeEngine(b, "v1", nil)
	pool := &fakePool{}
	pool.add("engine", "v1", engine.URL)
	h := newHarness(b, pool, nil)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for name, url := range map[string]string{"direct": engine.URL, "relayed": h.http.URL} {
		b.Run(name, func(b *testing.B) {
			first := make([]byte, 4)
			var total time.Duration
			n := 0
			for b.Loop() {
				started := time.Now()
				response := benchPost(b, client, url)
				_, _ = io.ReadFull(response.Body, first)
				total += time.Since(started)
				n++
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
			b.ReportMetric(float64(total.Microseconds())/float64(n), "first-us")
		})
	}
}

package relay

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// tokenInterval is the time between two events of a stream. 855 streams make
	// 17,100 events/s, the rate of one daemon at the target size.
	tokenInterval   = 50 * time.Millisecond
	loopbackStreams = 855
	relayAddressEnv = "RELAY_BENCHMARK_ADDRESS"
)

// TestMain also serves as the entry point of BenchmarkLoopback's peer process. The
// source and the callers run in that process, so that the measured process does
// nothing but relay.
func TestMain(m *testing.M) {
	if address := os.Getenv(relayAddressEnv); address != "" {
		runPeerProcess(address)
		return
	}
	os.Exit(m.Run())
}

// runPeerProcess serves paced streams, prints the address of their source, and reads
// the streams back through the relay until standard input ends.
func runPeerProcess(relayAddress string) {
	event := tokenStream(1)
	source := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		flusher := http.NewResponseController(w)
		ticker := time.NewTicker(tokenInterval)
		defer ticker.Stop()
		for r.Context().Err() == nil {
			if _, err := w.Write(event); err != nil || flusher.Flush() != nil {
				return
			}
			<-ticker.C
		}
	}))
	fmt.Println(strings.TrimPrefix(source.URL, "http://"))
	for range loopbackStreams {
		go func() {
			if res, err := http.Get("http://" + relayAddress); err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				res.Body.Close()
			}
		}()
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkLoopback relays paced streams between sockets, with one read, one write
// and one flush per event. It reports how many CPU cores 17,100 events/s need.
func BenchmarkLoopback(b *testing.B) {
	var source string
	var ready sync.WaitGroup
	ready.Add(1)
	var relayed atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		ready.Wait()
		res, err := http.Get("http://" + source)
		if err != nil {
			return
		}
		defer res.Body.Close()
		reader, writer := NewReader(res.Body, 0), NewWriter(w)
		for {
			event, err := reader.Next()
			if err != nil || writer.Send(event) != nil {
				return
			}
			relayed.Add(1)
		}
	}))
	peer := exec.Command(os.Args[0])
	peer.Env = append(os.Environ(), relayAddressEnv+"="+strings.TrimPrefix(server.URL, "http://"))
	input, _ := peer.StdinPipe()
	output, _ := peer.StdoutPipe()
	if err := peer.Start(); err != nil {
		b.Fatal(err)
	}
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	source = strings.TrimSpace(line)
	ready.Done()
	// The counter is polled because a channel would add a wake-up per event.
	wait := func(total int64) {
		for relayed.Load() < total {
			time.Sleep(5 * time.Millisecond)
		}
	}
	wait(2 * loopbackStreams)
	first, begin, cpu := relayed.Load(), time.Now(), cpuTime()
	for next := first; b.Loop(); {
		next++
		wait(next)
	}
	elapsed, cpuUsed, count := time.Since(begin), cpuTime()-cpu, float64(relayed.Load()-first)
	b.ReportMetric(count/elapsed.Seconds(), "events/s")
	b.ReportMetric(cpuUsed.Seconds()/count*17100, "cores@17100/s")
	_ = input.Close()
	_ = peer.Wait()
	server.CloseClientConnections()
}

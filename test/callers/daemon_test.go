package callers

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"rattantide/internal/proc"
	"rattantide/internal/responsetest"
	"rattantide/internal/standin/platformcloud"
	"rattantide/internal/standin/platformstore"
	"rattantide/internal/standin/runner"
)

const (
	// waitLimit bounds the wait for an expected state; it is not a performance requirement.
	waitLimit = 40 * time.Second
	// settleTime lets the daemon take in what the crowd has sent before its usage is read.
	settleTime = time.Second
	// memoryMB and maxDescriptors are the limits of the daemon's instance, and the bounds
	// on its resident memory and its open descriptors.
	memoryMB       = 128
	maxDescriptors = 256
	// maxBodyBytes and maxHeaderBytes are the limits of the configuration.
	maxBodyBytes   = 2 << 20
	maxHeaderBytes = 16 << 10
	// crowd is the number of misbehaving connections of a test.
	crowd = 100
	// largeCrowd is a number of connections that exceeds maxDescriptors.
	largeCrowd = 400
)

// daemon is a daemon's process with stand-ins of its platform.
type daemon struct {
	t       *testing.T
	address string
	// metrics is the address of the daemon's metrics.
	metrics string
	process *proc.Process
	runner  *runner.Runner
}

func startDaemon(t *testing.T) *daemon {
	d := &daemon{t: t, runner: &runner.Runner{ID: "i-1"}}
	streams := &runner.Runner{ID: "s-1", Events: 1 << 20}
	unframed := &runner.Runner{ID: "u-1", Events: 1 << 20, UnframedOneIn: 1}
	serve := func(h http.Handler) string {
		s := responsetest.NewServer(h)
		t.Cleanup(func() {
			s.CloseClientConnections()
			s.Close()
		})
		return s.Listener.Addr().String()
	}
	store := platformstore.New()
	for service, r := range map[string]*runner.Runner{"app": d.runner, "streams": streams, "unframed": unframed} {
		store.Set("servers", r.ID, map[string]any{
			"service": service, "address": serve(r), "zone": "zone-a", "version": "v1", "slots": 400, "state": "ready", "seqNo": 1,
		})
	}
	route := func(name, kind, service string) map[string]any {
		return map[string]any{"name": name, "host": "h", "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 10_000, "targetLatencyMs": 5000, "service": service, "maxAttempts": 1}
	}
	store.Set("config", "main", map[string]any{
		"version":  1,
		"routes":   []any{route("order", "non_idempotent", "app"), route("stream", "streaming", "streams"), route("unframed", "streaming", "unframed")},
		"services": []any{map[string]any{"name": "app", "maxConns": 400}, map[string]any{"name": "streams", "maxConns": 400}, map[string]any{"name": "unframed", "maxConns": 400}},
		"tenants":  []any{map[string]any{"name": "w", "apiKeys": []string{"key"}, "ratePerS": 1e6, "burst": 1e6, "unit": "token_count", "plainTokens": 1}},
		"limits":   map[string]any{"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 4000, "idleTimeoutMs": 10_000},
	})
	port, err := proc.FreePorts("127.0.0.1", 5)
	assert.NilError(t, err)
	dir := t.TempDir()
	d.address = "127.0.0.1:" + strconv.Itoa(port)
	d.metrics = "127.0.0.1:" + strconv.Itoa(port+4)
	settings := fmt.Sprintf(`
nodeId = "front-0"
ip = "127.0.0.1"
zone = "zone-a"
region = "r"
portRange = [%d,%d]
[listen]
front = "127.0.0.1:%d"
readiness = "127.0.0.1:%d"
directory = "127.0.0.1:%d"
[limits]
memoryMb = %d
maxFds = %d
cores = 1
cpuShare = 1
[bounds]
graceS = 4
[platform]
address = %q
[cloudApi]
address = %q
`, port+3, port+4, port, port+1, port+2, memoryMB, maxDescriptors, serve(store), serve(platformcloud.New()))
	path := filepath.Join(dir, "settings.toml")
	assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
	process, err := proc.Launch(proc.Spec{Name: "front-0", Program: gatewayProgram, Env: []string{"RATTANTIDE_BOOT=" + path}, Dir: dir})
	assert.NilError(t, err)
	t.Cleanup(process.Kill)
	d.process = process
	d.waitUntilServed()
	return d
}

// head returns the head of a request without the end of the header.
func head(path, header string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: crowd\r\nAuthorization: Bearer key\r\n" + header
}

// open opens connections that stay open until the test ends, and calls send for each in a
// goroutine. It returns once all of them have sent what they can.
func (d *daemon) open(count int, send func(c net.Conn)) {
	done := make(chan struct{})
	for range count {
		c, err := net.Dial("tcp4", d.address)
		assert.NilError(d.t, err)
		d.t.Cleanup(func() { _ = c.Close() })
		assert.NilError(d.t, c.SetWriteDeadline(time.Now().Add(sendLimit)))
		go func() {
			send(c)
			done <- struct{}{}
		}()
	}
	for range count {
		<-done
	}
}

// sendLimit ends the sending of connections from which the daemon no longer reads.
const sendLimit = 3 * time.Second

// check fails the test if the process has ended or uses more than its limits, or if an
// ordinary request is not answered.
func (d *daemon) check() {
	d.t.Helper()
	time.Sleep(settleTime)
	d.checkUsage()
	d.waitUntilServed()
	d.checkUsage()
}

func (d *daemon) checkUsage() {
	d.t.Helper()
	if d.process.HasExited() {
		d.t.Fatalf("the daemon has ended: %s", d.process.LogTail())
	}
	resident := d.peakResidentMB()
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.process.PID()))
	assert.NilError(d.t, err)
	heap := d.heapMB()
	d.t.Logf("%d MB at most, %d MB of heap, %d descriptors", resident, heap, len(descriptors))
	assert.Check(d.t, heap < memoryMB, "%d MB of heap are in use", heap)
	assert.Check(d.t, resident < memoryMB, "%d MB were resident", resident)
	assert.Check(d.t, len(descriptors) < maxDescriptors, "%d descriptors are open", len(descriptors))
}

// heapMB returns the heap that the process uses, which may not be resident yet.
func (d *daemon) heapMB() int {
	d.t.Helper()
	response, err := http.Get("http://" + d.metrics + "/metrics")
	assert.NilError(d.t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(d.t, err)
	_, rest, _ := strings.Cut(string(text), "\ngo_memstats_heap_inuse_bytes ")
	line, _, _ := strings.Cut(rest, "\n")
	bytes, err := strconv.ParseFloat(line, 64)
	assert.NilError(d.t, err)
	return int(bytes) >> 20
}

// peakResidentMB returns the largest resident memory of the process so far.
func (d *daemon) peakResidentMB() int {
	d.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.process.PID()))
	assert.NilError(d.t, err)
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	assert.NilError(d.t, err)
	return kilobytes >> 10
}

// waitUntilServed sends a request with a body of the largest size until it is answered, as
// callers may be told to return.
func (d *daemon) waitUntilServed() {
	d.t.Helper()
	body := bytes.Repeat([]byte("x"), maxBodyBytes)
	err := proc.Eventually(d.t.Context(), waitLimit, d.process.Done(), func() error {
		ctx, cancel := context.WithTimeout(d.t.Context(), 15*time.Second)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.address+"/order/1", bytes.NewReader(body))
		if err != nil {
			return err
		}
		request.Host = "h"
		request.Header.Set("X-Attempt-Id", "a-"+strconv.FormatInt(time.Now().UnixNano(), 36))
		request.Header.Set("Authorization", "Bearer key")
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		if err == nil && response.StatusCode != http.StatusOK {
			err = errors.Errorf("status %d", response.StatusCode)
		}
		return err
	})
	assert.NilError(d.t, err)
}

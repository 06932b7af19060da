package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"time"

	"rattantide/internal/proc"
	"rattantide/internal/standin/platformcloud"
	"rattantide/internal/standin/platformstore"
)

const (
	// host is the host of all routes, tenant the only tenant, and apiKey its key.
	host   = "orders.example"
	tenant = "members"
	apiKey = "key-of-members"
	// maxDescriptors is maxFds of the settings.
	maxDescriptors = 4100
	// memoryLimit is memoryMb of the settings, in bytes.
	memoryLimit = 284 << 20
	// readyTimeout bounds the start of the daemons.
	readyTimeout = 20 * time.Second
)

// deployment is a small deployment: the platform's store and cloud API in this process, and
// daemons as processes of their own on loopback addresses.
type deployment struct {
	dir     string
	program string
	store   *platformstore.Store
	cloud   *platformcloud.Cloud
	servers []*httptest.Server
	daemons []*daemon
	port    int
	version int
	// headerLimit is maxHeaderBytes of the manifests that are written.
	headerLimit int
	// limitsDescriptors gives each daemon as many descriptors as its settings say.
	limitsDescriptors bool
}

// daemon is one process of the system.
type daemon struct {
	name, ip, settings string
	process            *proc.Process
}

func newDeployment(program string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, program: program, store: platformstore.New(), cloud: platformcloud.New(), headerLimit: 16 << 10}
	for _, handler := range []http.Handler{d.store, d.cloud} {
		d.servers = append(d.servers, httptest.NewServer(handler))
	}
	return d, nil
}

// close ends all processes and removes the folder.
func (d *deployment) close() {
	for _, m := range d.daemons {
		m.process.Kill()
	}
	for _, s := range d.servers {
		s.CloseClientConnections()
		s.Close()
	}
	_ = os.RemoveAll(d.dir)
}

// startDaemons starts daemons on 127.0.7.1 and the following addresses.
func (d *deployment) startDaemons(count int) error {
	var err error
	if d.port, err = proc.FreePorts("127.0.7.1", 5); err != nil {
		return err
	}
	for i := range count {
		m := &daemon{name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("127.0.7.%d", i+1)}
		m.settings = filepath.Join(d.dir, m.name+".toml")
		if err := os.WriteFile(m.settings, []byte(d.settingsOf(m)), 0o600); err != nil {
			return err
		}
		d.daemons = append(d.daemons, m)
		if err := d.start(m); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) start(m *daemon) (err error) {
	spec := proc.Spec{Name: m.name, Program: d.program, Env: []string{"RATTANTIDE_BOOT=" + m.settings}, Dir: d.dir}
	if d.limitsDescriptors {
		spec.Program, spec.Args = "/bin/sh", []string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, maxDescriptors), d.program}
	}
	m.process, err = proc.Launch(spec)
	return err
}

// settingsOf returns the settings file of a daemon, with the bounds of the small deployments.
func (d *deployment) settingsOf(m *daemon) string {
	address := func(offset int) string { return fmt.Sprintf("%s:%d", m.ip, d.port+offset) }
	return fmt.Sprintf(`nodeId = %q
role = "gateway"
machineClass = "front"
serves = ["front","directory"]
ip = %q
zone = "hoian-a"
region = "mien-trung"
portRange = [%d,%d]
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
[listen]
front = %q
readiness = %q
directory = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
drainMs = 2000
graceS = 8
configApplyMs = 2000
strictRevoke = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 58
quotaWindowS = 8
quotaOvershoot = 0.1
quotaSlack = 110000
requireFencing = true
leaseMs = 3000
usageWindowS = 5
usageOff = 0.05
usageLateS = 10
canaryShare = 0.1
canarySlack = 50
rollbackMs = 5000
recoveryS = 12
passMs = 120
retryAfterS = 7.5
ttl_max_s = 5
[platform]
address = %q
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
[cloudApi]
address = %q
duties = ["usage_report","autoscale"]
`, m.name, m.ip, d.port+3, d.port+4, address(0), address(1), address(2), d.servers[0].Listener.Addr(), d.servers[1].Listener.Addr())
}

// awaitReady waits until all daemons answer their readiness checks with 200.
func (d *deployment) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range d.daemons {
			if response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", m.ip, d.port+1)); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		switch {
		case ready == len(d.daemons):
			// The daemons also learn of each other.
			time.Sleep(2 * time.Second)
			return nil
		case time.Now().After(deadline):
			return fmt.Errorf("%d of %d daemons are ready", ready, len(d.daemons))
		}
	}
}

// route is a route of the manifest; all routes have a prefix of their name.
type route struct {
	name, service, kind string
	maxAttempts         int
	timeout, target     time.Duration
}

// writeManifest writes the next version of the manifest.
func (d *deployment) writeManifest(services []map[string]any, routes ...route) {
	d.version++
	var list []any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": host, "pathPrefix": "/" + r.name + "/", "kind": r.kind, "timeoutMs": r.timeout.Milliseconds(),
			"targetLatencyMs": r.target.Milliseconds(), "service": r.service, "maxAttempts": r.maxAttempts, "priority": 2,
		})
	}
	d.store.Set("config", "main", map[string]any{
		"version": d.version, "routes": list, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": d.headerLimit, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}}},
	})
}

// register writes the entry of a runner.
func (d *deployment) register(id, service, address string, slots int) {
	d.store.Set("servers", id, map[string]any{
		"service": service, "address": address, "zone": "hoian-a", "version": "v1", "slots": slots, "state": "ready", "coldLeftMs": 0,
		"seqNo": 1, "born": time.Now().UnixMilli(),
	})
}

// logLines returns the log lines of all daemons that contain a text.
func (d *deployment) logLines(text string) []string {
	var lines []string
	for _, m := range d.daemons {
		content, err := os.ReadFile(m.process.LogPath)
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(content), "\n") {
			if strings.Contains(line, text) {
				lines = append(lines, m.name+": "+line)
			}
		}
	}
	return lines
}

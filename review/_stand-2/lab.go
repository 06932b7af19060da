package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lab is a small deployment: the stand-ins of the platform and a few gateways as processes,
// each on a loopback address of its own, as all of them use the same ports.
type lab struct {
	dir          string
	store        *store
	storeAddress string
	cloudAddress string
	port         int
	gateways     []*gateway
	record       *record
	// graceSeconds is graceS of the settings at the start.
	graceSeconds int
	// memoryMB and descriptors are the limits of a machine.
	memoryMB, descriptors int
}

// gateway is one machine: the process that the deploy file names, and its settings.
type gateway struct {
	name, ip, settings string
	lab                *lab

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// gatewayProgram is where the build of the deploy file places the program.
const gatewayProgram = "target/rattantide-gateway"

// The ports of a gateway follow each other from lab.port on.
const (
	frontPort = iota
	readyPort
	directoryPort
	controlPort
	firstFreePort
	// portCount covers the ports for traffic between gateways.
	portCount = firstFreePort + 8
)

// newLab starts the platform's stand-ins.
func newLab(record *record) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	l := &lab{dir: dir, store: newStore(), record: record, graceSeconds: 8, memoryMB: 284, descriptors: 4100}
	if l.storeAddress, err = serve(l.store); err != nil {
		return nil, err
	}
	cloud := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		answer(w, http.StatusOK, map[string]any{})
	})
	if l.cloudAddress, err = serve(cloud); err != nil {
		return nil, err
	}
	return l, nil
}

func serve(h http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, h) }()
	return listener.Addr().String(), nil
}

// settingsText has the figures of the settings of khacdau-hoian in DEPLOY.md.
const settingsText = `nodeId = %q
role = "gateway"
machineClass = "front"
serves = ["front","directory"]
ip = %q
zone = "zone-a"
region = "region-a"
portRange = [%d,%d]
seeds = [%s]
bootstrap = true
heartbeatMs = 1200
[listen]
front = %q
readiness = %q
control = %q
directory = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
maxFds = %d
[bounds]
contactMs = 3000
drainMs = 2000
graceS = %d
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
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
duties = ["usage_report"]
dutyPerS = 50.0
`

// startGateways starts count gateways and waits until all of them are ready.
func (l *lab) startGateways(count int) error {
	for i := range count {
		l.gateways = append(l.gateways, &gateway{name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("127.0.8.%d", i+1), lab: l})
	}
	var err error
	if l.port, err = l.freePorts(); err != nil {
		return err
	}
	var seeds []string
	for _, g := range l.gateways[:min(3, count)] {
		seeds = append(seeds, fmt.Sprintf("%q", g.address(controlPort)))
	}
	for _, g := range l.gateways {
		text := fmt.Sprintf(settingsText, g.name, g.ip, l.port+firstFreePort, l.port+portCount-1, strings.Join(seeds, ","),
			g.address(frontPort), g.address(readyPort), g.address(controlPort), g.address(directoryPort), l.memoryMB, l.descriptors, l.graceSeconds, l.storeAddress, l.cloudAddress)
		g.settings = filepath.Join(l.dir, g.name+".toml")
		if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range l.gateways {
		if !g.waitReady(20 * time.Second) {
			return fmt.Errorf("%s is not ready after 20 s", g.name)
		}
	}
	return nil
}

// freePorts returns the first of portCount ports that are free on all addresses.
func (l *lab) freePorts() (int, error) {
next:
	for base := 21000 + os.Getpid()%1000*20; base < 60000; base += portCount {
		for _, g := range l.gateways {
			for port := base; port < base+portCount; port++ {
				listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", g.ip, port))
				if err != nil {
					continue next
				}
				_ = listener.Close()
			}
		}
		return base, nil
	}
	return 0, fmt.Errorf("no free ports")
}

func (g *gateway) address(port int) string { return fmt.Sprintf("%s:%d", g.ip, g.lab.port+port) }

// start starts the process. Its log goes to the temporary folder.
func (g *gateway) start() error {
	output, err := os.OpenFile(filepath.Join(g.lab.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(gatewayProgram)
	command.Env = append(os.Environ(), "RATTANTIDE_BOOT="+g.settings)
	command.Stdout, command.Stderr = output, output
	// The process ends with this one, also if this one is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		err := command.Wait()
		_ = output.Close()
		g.lab.record.add("%s: process %d has ended: %v", g.name, command.Process.Pid, err)
		close(exited)
	}()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.command, g.exited = command, exited
	g.lab.record.add("%s: process %d started", g.name, command.Process.Pid)
	return nil
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lab.record.add("%s: %v is sent", g.name, s)
	_ = g.command.Process.Signal(s)
}

// waitExit waits until the process has ended.
func (g *gateway) waitExit(limit time.Duration) bool {
	g.mu.Lock()
	exited := g.exited
	g.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + g.address(readyPort) + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (g *gateway) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if g.isReady() {
			return true
		}
	}
	return false
}

// close ends all processes and removes the temporary folder.
func (l *lab) close() {
	for _, g := range l.gateways {
		g.mu.Lock()
		command := g.command
		g.mu.Unlock()
		if command != nil {
			_ = command.Process.Kill()
			g.waitExit(5 * time.Second)
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	}
}

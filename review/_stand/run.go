package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"rattantide/internal/standin/platformcloud"
	"rattantide/internal/standin/platformstore"
)

// run is one run of a case: the platform's stand-ins, the daemons' processes, and the record.
type run struct {
	program string
	trouble bool
	dir     string
	start   time.Time

	store        *platformstore.Store
	cloud        *platformcloud.Cloud
	storeAddress string
	cloudAddress string
	// basePort is the first of the ports that each daemon uses on its own address.
	basePort  int
	daemons   []*daemon
	runnersMu sync.Mutex
	runners   []*runner
	modelRuns modelRuns

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	closed bool
}

// daemon is a process of the project.
type daemon struct {
	name, ip  string
	process   *exec.Cmd
	done      chan struct{}
	killedAt  time.Time
	isRemoved bool
}

const (
	portsPerDaemon = 20
	readyTimeout   = 20 * time.Second
)

func newRun(program, recordPath string, trouble bool) (*run, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the daemon is not built: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	r := &run{
		program: program, trouble: trouble, dir: dir, start: time.Now(), store: platformstore.New(), cloud: platformcloud.New(),
		file: file, record: bufio.NewWriter(file),
	}
	if r.storeAddress, err = serve("127.0.0.1:0", r.store); err != nil {
		return nil, err
	}
	if r.cloudAddress, err = serve("127.0.0.1:0", r.cloud); err != nil {
		return nil, err
	}
	r.logf("trouble: %v", trouble)
	return r, nil
}

// serve starts an HTTP server and returns its address.
func serve(address string, handler http.Handler) (string, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// logf writes a line to the record, with the time since the start in seconds.
func (r *run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and closes the record.
func (r *run) close() {
	for _, d := range r.daemons {
		d.kill()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	_ = r.record.Flush()
	_ = r.file.Close()
	_ = os.RemoveAll(r.dir)
}

// kill ends the process without notice.
func (d *daemon) kill() {
	if d.process == nil {
		return
	}
	select {
	case <-d.done:
	default:
		_ = d.process.Process.Signal(syscall.SIGKILL)
		<-d.done
	}
}

// startDaemons starts count daemons and waits until all are ready. most is the number of
// daemons that the case starts in all.
func (r *run) startDaemons(count, most int) error {
	var err error
	if r.basePort, err = freePorts(most); err != nil {
		return err
	}
	for range count {
		if err := r.startProcess(r.newDaemon()); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, d := range r.daemons {
		for !r.isReady(d) {
			if time.Now().After(deadline) {
				return fmt.Errorf("daemon %s is not ready after %s", d.name, readyTimeout)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	r.logf("%d daemons are ready", count)
	return nil
}

// newDaemon adds a daemon with an address of its own.
func (r *run) newDaemon() *daemon {
	i := len(r.daemons)
	d := &daemon{name: fmt.Sprintf("front-zone-a-%d", i+1), ip: daemonIP(i)}
	r.daemons = append(r.daemons, d)
	return d
}

// network is the network of the daemons' addresses. Runs at the same time have different ones.
var network = fmt.Sprintf("127.%d.%d", 64+rand.IntN(64), 1+rand.IntN(254))

func daemonIP(i int) string { return fmt.Sprintf("%s.%d", network, i+1) }

// freePorts returns the first of portsPerDaemon ports that are free on the addresses of all
// daemons.
func freePorts(count int) (int, error) {
	const first, step, steps = 21000, 517, 70
	for i := range steps {
		base := first + i*step
		if arePortsFree(base, count) {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

func arePortsFree(base, count int) bool {
	for i := range count {
		for port := base; port < base+portsPerDaemon; port++ {
			address := fmt.Sprintf("%s:%d", daemonIP(i), port)
			l, err := net.Listen("tcp4", address)
			if err != nil {
				return false
			}
			_ = l.Close()
			u, err := net.ListenPacket("udp4", address)
			if err != nil {
				return false
			}
			_ = u.Close()
		}
	}
	return true
}

func (r *run) callerAddress(d *daemon) string    { return fmt.Sprintf("%s:%d", d.ip, r.basePort) }
func (r *run) readinessAddress(d *daemon) string { return fmt.Sprintf("%s:%d", d.ip, r.basePort+1) }
func (r *run) directoryAddress(d *daemon) string { return fmt.Sprintf("%s:%d", d.ip, r.basePort+2) }

// settings returns the settings file of a daemon, with the bounds of DEPLOY.md.
func (r *run) settings(d *daemon) string {
	return fmt.Sprintf(`nodeId = %q
role = "gateway"
machineClass = "front"
serves = ["front","directory"]
ip = %q
zone = "zone-a"
region = "region-a"
portRange = [%d,%d]
seeds = []
bootstrap = true
heartbeatMs = 1200
[zones]
zone-a = "region-a"
[listen]
front = %q
readiness = %q
directory = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
[bounds]
seedLagS = 3
reuseAfterS = 2
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
ratePerS = 50.0
duties = ["usage_report","autoscale"]
dutyPerS = 50.0
`, d.name, d.ip, r.basePort+4, r.basePort+portsPerDaemon-1, r.callerAddress(d), r.readinessAddress(d), r.directoryAddress(d), r.storeAddress, r.cloudAddress)
}

// startProcess starts the process of a daemon.
func (r *run) startProcess(d *daemon) error {
	path := filepath.Join(r.dir, d.name+".toml")
	if err := os.WriteFile(path, []byte(r.settings(d)), 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(r.dir, d.name+".log"))
	if err != nil {
		return err
	}
	defer output.Close()
	d.process = exec.Command(r.program)
	d.process.Env = []string{"RATTANTIDE_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + r.dir}
	d.process.Stdout, d.process.Stderr = output, output
	d.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.process.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.done = done
	process := d.process
	go func() {
		_ = process.Wait()
		close(done)
	}()
	r.logf("started daemon %s at %s", d.name, r.callerAddress(d))
	return nil
}

// remove kills the process of a daemon, which does not come back.
func (r *run) remove(d *daemon) {
	d.isRemoved, d.killedAt = true, time.Now()
	d.kill()
	r.logf("killed daemon %s for good", d.name)
}

var readinessClient = &http.Client{Timeout: 500 * time.Millisecond}

func (r *run) isReady(d *daemon) bool {
	response, err := readinessClient.Get("http://" + r.readinessAddress(d) + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

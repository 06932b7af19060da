package combinations

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"rattantide/internal/proc"
	"rattantide/internal/standin/instances"
)

const (
	region         = "region-1"
	peerToken      = "peer-secret"
	operatorToken  = "operator-secret"
	workspaceToken = "workspace-secret"
	model          = "draft"
	version        = "v1"
	// readyTimeout bounds the start of a fleet. It is generous because the machine
	// may be busy.
	readyTimeout = 30 * time.Second
)

// member describes an instance of the fleet.
type member struct {
	kind, domain, pool, version string
}

var (
	daemonNames  = []string{"d1", "d2", "d3"}
	engineNames  = []string{"e1", "e2", "e3", "e4"}
	serviceNames = []string{"s1", "s2"}
	domainNames  = []string{"zone-a", "zone-b", "zone-c"}
	members      = map[string]member{
		"d1": {kind: "daemon", domain: "zone-a"},
		"d2": {kind: "daemon", domain: "zone-b"},
		"d3": {kind: "daemon", domain: "zone-c"},
		"e1": {kind: "engine", domain: "zone-a", pool: "draft", version: version},
		"e2": {kind: "engine", domain: "zone-b", pool: "draft", version: version},
		"e3": {kind: "engine", domain: "zone-c", pool: "draft", version: version},
		"e4": {kind: "engine", domain: "zone-b", pool: "draft", version: version},
		"s1": {kind: "service", domain: "zone-a", pool: "dies", version: "s1"},
		"s2": {kind: "service", domain: "zone-b", pool: "dies", version: "s1"},
	}
)

// fleet holds the processes of one seed. It is safe for concurrent use.
type fleet struct {
	dir string

	mu            sync.Mutex
	processes     map[string]*proc.Process
	reclaimTimers []*time.Timer
}

// newFleet starts a fleet, applies the configuration, and waits until each daemon
// counts all daemons as live and serves requests. The logs are written to dir. The
// processes are killed when the test ends.
func newFleet(ctx context.Context, t *testing.T, dir string) (*fleet, error) {
	f := &fleet{dir: dir, processes: map[string]*proc.Process{}}
	t.Cleanup(f.close)
	for _, kind := range []string{"objectapi", "instances", "cloud"} {
		if err := f.start(ctx, kind, "standin", kind); err != nil {
			return nil, err
		}
	}
	group, groupCtx := errgroup.WithContext(ctx)
	for name, m := range members {
		group.Go(func() error { return f.startMember(groupCtx, name, m) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	apply := exec.CommandContext(ctx, filepath.Join(binDir, "rattantide"), "apply", "-f", filepath.Join("..", "scenarios", "shared", "config.yaml"))
	apply.Env = append(os.Environ(), "RATTANTIDE_OPERATOR_TOKEN="+operatorToken, "RATTANTIDE_ADDRESS="+strings.Join(f.daemonAddresses(), ","))
	if output, err := apply.CombinedOutput(); err != nil {
		return nil, errors.Annotatef(err, "applying the configuration: %s", output)
	}
	return f, f.awaitReady(ctx)
}

// start starts a program on a free loopback port and waits until it is ready.
func (f *fleet) start(ctx context.Context, name, program string, args ...string) error {
	p, err := proc.Start(ctx, proc.Spec{
		Name: name, Program: filepath.Join(binDir, program), Dir: f.dir,
		Args: append(args, "-listen", "127.0.0.1:0"),
	})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = p
	return nil
}

// startMember starts an instance and adds it to the instance list.
func (f *fleet) startMember(ctx context.Context, name string, m member) error {
	var err error
	switch m.kind {
	case "daemon":
		err = f.start(ctx, name, "rattantided", "-name", name, "-domain", m.domain, "-region", region,
			"-object-api", f.address("objectapi"), "-instance-list", f.address("instances"), "-cloud", f.address("cloud"),
			"-peer-token", peerToken, "-operator-token", operatorToken, "-log-requests", "1", "-entry-ttl", "1s", "-drain-limit", "2s")
	case "engine":
		err = f.start(ctx, name, "standin", "engine", "-name", name, "-pool", m.pool, "-version", m.version,
			"-token-time", "10ms", "-log-file", f.callLogPath(name))
	case "service":
		err = f.start(ctx, name, "standin", "service", "-name", name, "-pool", m.pool, "-version", m.version,
			"-service-time", "20ms", "-log-file", f.callLogPath(name))
	}
	if err != nil {
		return err
	}
	return f.setInstanceState(ctx, name, "live")
}

// setInstanceState adds an instance to the instance list, or updates its state
// there.
func (f *fleet) setInstanceState(ctx context.Context, name, state string) error {
	m := members[name]
	role := "upstream"
	if m.kind == "daemon" {
		role = "daemon"
	}
	return f.postControl(ctx, "instances", "/control/instances", instances.Instance{
		Name: name, Address: f.address(name), Domain: m.domain, Region: region, Role: role, Pool: m.pool,
		Version: m.version, Class: "reclaimable", PricePerHour: 1, State: state,
	})
}

// postControl posts a JSON value to a control endpoint of a stand-in. It uses a new
// connection, so that faults of open connections do not affect it.
func (f *fleet) postControl(ctx context.Context, name, path string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return errors.Trace(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.address(name)+path, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	response, err := unpooledClient.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return errors.Errorf("%s %s: %s", name, path, response.Status)
	}
	return nil
}

// unpooledClient opens a new connection for each request.
var unpooledClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 8 * time.Second}

// awaitReady waits until each daemon counts all daemons as live and serves requests.
func (f *fleet) awaitReady(ctx context.Context) error {
	for _, name := range daemonNames {
		err := proc.Eventually(ctx, readyTimeout, f.process(name).Done(), func() error {
			var status struct{ Daemons struct{ Live int } }
			if err := f.getJSON(ctx, name, "/admin/v1/status", operatorToken, &status); err != nil {
				return err
			}
			if status.Daemons.Live != len(daemonNames) {
				return errors.Errorf("not all daemons are live, only %d", status.Daemons.Live)
			}
			return f.getJSON(ctx, name, "/jobs/ready", workspaceToken, nil)
		})
		if err != nil {
			return errors.Annotatef(err, "waiting for %s to become ready", name)
		}
	}
	return nil
}

// getJSON sends a GET request to a process and decodes the JSON response into out,
// unless out is nil.
func (f *fleet) getJSON(ctx context.Context, name, path, token string, out any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address(name)+path, nil)
	if err != nil {
		return errors.Trace(err)
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := unpooledClient.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("GET %s: %s", path, response.Status)
	}
	if out == nil {
		return nil
	}
	return errors.Trace(json.NewDecoder(response.Body).Decode(out))
}

func (f *fleet) process(name string) *proc.Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name]
}

func (f *fleet) address(name string) string { return f.process(name).Address }

func (f *fleet) callLogPath(name string) string { return filepath.Join(f.dir, name+".calls") }

func (f *fleet) daemonAddresses() []string {
	var out []string
	for _, name := range daemonNames {
		out = append(out, f.address(name))
	}
	return out
}

// close stops the pending reclaims and kills all processes.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, timer := range f.reclaimTimers {
		timer.Stop()
	}
	for _, p := range f.processes {
		p.Kill()
	}
}

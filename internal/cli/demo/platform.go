package demo

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"rattantide/internal/proc"
	"rattantide/internal/standin/instances"
)

const region = "north"

var (
	domains = []string{"a", "b", "c"}
	// engineVersions holds the version of each engine in a failure domain.
	engineVersions      = []string{"briefs-v1", "briefs-v1", "briefs-v2", "briefs-v2", "briefs-v3"}
	fixedEntryAddresses = []string{"127.0.0.1:7410", "127.0.0.1:7411", "127.0.0.1:7412"}
)

const (
	fixedObjectAPIAddress = "127.0.0.1:7400"
	anyPortAddress        = "127.0.0.1:0"
)

// platform holds the processes that were started. mu guards the lists.
type platform struct {
	objectAPI *process
	instances *process
	cloud     *process
	weights   *process

	mu       sync.Mutex
	engines  []*process
	services []*process
	daemons  []*process
	all      []*process
}

// startPlatform starts the stand-ins of the platform's APIs, then the engines, services
// and daemons of all failure domains.
func (d *demo) startPlatform(ctx context.Context) error {
	var err error
	objectAPI := anyPortAddress
	if d.options.Stay {
		objectAPI = fixedObjectAPIAddress
	}
	if d.objectAPI, err = d.startStandin(ctx, "objectapi", "objectapi", "-listen", objectAPI); err != nil {
		return err
	}
	if d.instances, err = d.startStandin(ctx, "instances", "instances"); err != nil {
		return err
	}
	if d.cloud, err = d.startStandin(ctx, "cloud", "cloud"); err != nil {
		return err
	}
	if d.weights, err = d.startStandin(ctx, "weights", "weights"); err != nil {
		return err
	}
	group, groupCtx := errgroup.WithContext(ctx)
	for i, domain := range domains {
		for n, version := range engineVersions {
			group.Go(func() error { return d.startEngine(groupCtx, fmt.Sprintf("engine-%s%d", domain, n+1), domain, version) })
		}
		group.Go(func() error { return d.startService(groupCtx, "service-"+domain, domain) })
		group.Go(func() error { return d.startDaemon(groupCtx, "entry-"+domain, domain, i) })
	}
	return errors.Trace(group.Wait())
}

func (d *demo) startStandin(ctx context.Context, name, kind string, args ...string) (*process, error) {
	return d.launch(ctx, name, "standin", nil, append([]string{kind}, args...)...)
}

func (d *demo) launch(ctx context.Context, name, program string, env []string, args ...string) (*process, error) {
	started, err := proc.Start(ctx, proc.Spec{
		Name: name, Program: filepath.Join(d.options.Bin, program), Args: args, Env: env, Dir: d.dir,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &process{Process: started}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all = append(d.all, p)
	return p, nil
}

func (d *demo) startEngine(ctx context.Context, name, domain, version string) error {
	p, err := d.startStandin(ctx, name, "engine", "-name", name, "-pool", "briefs", "-version", version,
		"-token-time", "8ms", "-load-time", "200ms", "-weights", d.weights.Address)
	if err != nil {
		return err
	}
	p.domain = domain
	d.mu.Lock()
	d.engines = append(d.engines, p)
	d.mu.Unlock()
	return d.registerInstance(ctx, instances.Instance{
		Name: name, Address: p.Address, Domain: domain, Region: region, Role: "upstream", Pool: "briefs",
		Version: version, Class: "reclaimable", PricePerHour: 1.2,
	})
}

func (d *demo) startService(ctx context.Context, name, domain string) error {
	p, err := d.startStandin(ctx, name, "service", "-name", name, "-pool", "orders", "-version", "orders-v1", "-service-time", "5ms")
	if err != nil {
		return err
	}
	p.domain = domain
	d.mu.Lock()
	d.services = append(d.services, p)
	d.mu.Unlock()
	return d.registerInstance(ctx, instances.Instance{
		Name: name, Address: p.Address, Domain: domain, Region: region, Role: "upstream", Pool: "orders",
		Version: "orders-v1", Class: "on-demand", PricePerHour: 0.3,
	})
}

// startDaemon starts a daemon, waits until it is healthy and registers it. slot is
// the index of its address in fixedEntryAddresses.
func (d *demo) startDaemon(ctx context.Context, name, domain string, slot int) error {
	listen := anyPortAddress
	if d.options.Stay {
		listen = fixedEntryAddresses[slot]
	}
	env := []string{"RATTANTIDE_PEER_TOKEN=" + peerToken, "RATTANTIDE_OPERATOR_TOKEN=" + operatorToken}
	p, err := d.launch(ctx, name, "rattantided", env, "-name", name, "-listen", listen, "-domain", domain, "-region", region,
		"-object-api", d.objectAPI.Address, "-instance-list", d.instances.Address, "-cloud", d.cloud.Address,
		"-entry-ttl", "1s", "-drain-limit", "10s")
	if err != nil {
		return err
	}
	err = proc.Eventually(ctx, 10*time.Second, p.Done(), func() error {
		return callJSON(ctx, http.MethodGet, p.Address, "/healthz", nil, nil)
	})
	if err != nil {
		return errors.Annotatef(err, "%s: %s", name, p.LogTail())
	}
	p.domain, p.slot = domain, slot
	d.mu.Lock()
	d.daemons = append(d.daemons, p)
	slices.SortFunc(d.daemons, func(a, b *process) int { return cmp.Compare(a.slot, b.slot) })
	d.mu.Unlock()
	return d.registerInstance(ctx, instances.Instance{
		Name: name, Address: p.Address, Domain: domain, Region: region, Role: "daemon", Class: "reclaimable", PricePerHour: 0.1,
	})
}

// registerInstance adds i to the instance list.
func (d *demo) registerInstance(ctx context.Context, i instances.Instance) error {
	return callJSON(ctx, http.MethodPost, d.instances.Address, "/control/instances", i, nil)
}

// stop stops all processes concurrently and waits until they have ended.
func (d *demo) stop() {
	d.mu.Lock()
	all := d.all
	d.mu.Unlock()
	var wait sync.WaitGroup
	for i := len(all) - 1; i >= 0; i-- {
		wait.Add(1)
		go func() {
			defer wait.Done()
			all[i].Stop(stopTimeout)
		}()
	}
	wait.Wait()
}

func (d *demo) daemonAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return addressesOf(d.daemons)
}

func (d *demo) engineAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return addressesOf(d.engines)
}

func (d *demo) serviceAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return addressesOf(d.services)
}

func addressesOf(processes []*process) []string {
	out := make([]string, len(processes))
	for i, p := range processes {
		out[i] = p.Address
	}
	return out
}

// withoutProcess returns a copy of list without the process of that name.
func withoutProcess(list []*process, name string) []*process {
	return slices.DeleteFunc(slices.Clone(list), func(p *process) bool { return p.Name == name })
}

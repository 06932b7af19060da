package bench

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/proc"
	"rattantide/internal/standin/instances"
)

const (
	peerToken      = "bench-peer-token"
	operatorToken  = "bench-operator-token"
	workspaceToken = "bench-workspace-token"
	pool           = "briefs"
	region         = "region-1"
	startTimeout   = 10 * time.Second
)

// cluster is a set of daemons with the stand-ins that they need.
type cluster struct {
	dir string
	bin string

	objectAPI *proc.Process
	instances *proc.Process
	cloud     *proc.Process
	engines   []*proc.Process
	daemons   []*proc.Process
	all       []*proc.Process
}

// start starts the platform, the engines and the daemons, applies the
// configuration, and waits until every daemon serves. The failure domains
// rotate over three.
func (c *cluster) start(ctx context.Context, engines, daemons int, engineArgs ...string) error {
	for _, platform := range []struct {
		kind string
		into **proc.Process
		args []string
	}{
		{"objectapi", &c.objectAPI, nil}, {"instances", &c.instances, nil}, {"cloud", &c.cloud, nil},
	} {
		p, err := c.launch(ctx, platform.kind, "standin", append([]string{platform.kind}, platform.args...)...)
		if err != nil {
			return err
		}
		*platform.into = p
	}
	for i := range engines {
		if err := c.startEngine(ctx, i, engineArgs); err != nil {
			return err
		}
	}
	for i := range daemons {
		if err := c.startDaemon(ctx, i); err != nil {
			return err
		}
	}
	if err := c.configure(ctx); err != nil {
		return err
	}
	return c.awaitServing(ctx)
}

func domainOf(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%3) }

func (c *cluster) launch(ctx context.Context, name, program string, args ...string) (*proc.Process, error) {
	p, err := proc.Start(ctx, proc.Spec{
		Name: name, Program: filepath.Join(c.bin, program), Dir: c.dir,
		Args: append(args, "-listen", "127.0.0.1:0"),
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.all = append(c.all, p)
	return p, nil
}

func (c *cluster) startEngine(ctx context.Context, i int, args []string) error {
	name := fmt.Sprintf("engine-%d", i)
	p, err := c.launch(ctx, name, "standin", append([]string{"engine", "-name", name, "-pool", pool, "-version", "v1"}, args...)...)
	if err != nil {
		return err
	}
	c.engines = append(c.engines, p)
	return c.list(ctx, instances.Instance{
		Name: name, Address: p.Address, Domain: domainOf(i), Region: region, Role: "upstream", Pool: pool,
		Version: "v1", Class: "reclaimable", PricePerHour: 1, State: "live",
	})
}

func (c *cluster) startDaemon(ctx context.Context, i int) error {
	name := fmt.Sprintf("entry-%d", i)
	p, err := c.launch(ctx, name, "rattantided", "-name", name, "-domain", domainOf(i), "-region", region,
		"-object-api", c.objectAPI.Address, "-instance-list", c.instances.Address, "-cloud", c.cloud.Address,
		"-peer-token", peerToken, "-operator-token", operatorToken, "-log-level", "info", "-log-requests", "0")
	if err != nil {
		return err
	}
	c.daemons = append(c.daemons, p)
	return c.list(ctx, instances.Instance{
		Name: name, Address: p.Address, Domain: domainOf(i), Region: region, Role: "daemon",
		Class: "reclaimable", PricePerHour: 0.1, State: "live",
	})
}

// listPhantoms names further upstreams on the instance list. They share the
// addresses of the engines that run, so that polls of them are answered.
func (c *cluster) listPhantoms(ctx context.Context, n int) error {
	for i := range n {
		err := c.list(ctx, instances.Instance{
			Name: fmt.Sprintf("phantom-%d", i), Address: c.engines[i%len(c.engines)].Address, Domain: domainOf(i),
			Region: region, Role: "upstream", Pool: pool, Version: "v1", Class: "reclaimable", PricePerHour: 1, State: "live",
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// outage switches the outage of the object API.
func (c *cluster) outage(ctx context.Context, on bool) error {
	return send(ctx, http.MethodPost, "http://"+c.objectAPI.Address+"/control/faults", "", map[string]bool{"outage": on})
}

// reclaim gives a daemon notice.
func (c *cluster) reclaim(ctx context.Context, name string, notice time.Duration) error {
	return send(ctx, http.MethodPost, "http://"+c.cloud.Address+"/control/notices", "", map[string]any{
		"instance": name, "deadlineMs": notice.Milliseconds(), "kind": "reclaim",
	})
}

func (c *cluster) list(ctx context.Context, i instances.Instance) error {
	return send(ctx, http.MethodPost, "http://"+c.instances.Address+"/control/instances", "", i)
}

func (c *cluster) configure(ctx context.Context) error {
	sum := sha256.Sum256([]byte(workspaceToken))
	objects := []struct {
		kind, name, spec string
	}{
		{"Class", "chat", `{"target":{"firstToken":"1.3s","betweenTokens":"55ms"},"deadline":"60s"}`},
		{"Workspace", "team", fmt.Sprintf(`{"tokenHash":%q}`, hex.EncodeToString(sum[:]))},
		{"Pool", pool, `{"type":"chat","version":"v1"}`},
		{"Version", "v1", fmt.Sprintf(`{"pool":%q}`, pool)},
		{"Route", pool, fmt.Sprintf(`{"model":%q,"pool":%q,"class":"chat"}`, pool, pool)},
	}
	for _, o := range objects {
		body := map[string]any{"kind": o.kind, "name": o.name, "spec": json.RawMessage(o.spec)}
		url := fmt.Sprintf("http://%s/admin/v1/objects/%s/%s", c.daemons[0].Address, o.kind, o.name)
		err := proc.Eventually(ctx, startTimeout, nil, func() error {
			return send(ctx, http.MethodPut, url, operatorToken, body)
		})
		if err != nil {
			return errors.Annotatef(err, "%s/%s", o.kind, o.name)
		}
	}
	return nil
}

func (c *cluster) awaitServing(ctx context.Context) error {
	for _, d := range c.daemons {
		err := proc.Eventually(ctx, startTimeout, d.Ended(), func() error {
			return send(ctx, http.MethodPost, "http://"+d.Address+"/v1/chat/completions", workspaceToken, map[string]any{
				"model": pool, "max_tokens": 1, "messages": []map[string]string{{"role": "user", "content": "ready?"}},
			})
		})
		if err != nil {
			return errors.Annotate(err, d.LastLines())
		}
	}
	return nil
}

// stop kills all processes; nothing in a measurement outlives it.
func (c *cluster) stop() {
	for _, p := range c.all {
		p.Kill()
	}
}

func urls(processes []*proc.Process) []string {
	out := make([]string, len(processes))
	for i, p := range processes {
		out[i] = "http://" + p.Address
	}
	return out
}

func send(ctx context.Context, method, url, token string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Trace(err)
	}
	return call(ctx, method, url, token, encoded, nil)
}

func get(ctx context.Context, url, token string, into any) error {
	return call(ctx, http.MethodGet, url, token, nil, into)
}

func call(ctx context.Context, method, url, token string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	request.Header.Set("Content-Type", "application/json")
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return errors.Errorf("%s: %s", url, response.Status)
	}
	if into == nil {
		return nil
	}
	return errors.Trace(json.NewDecoder(response.Body).Decode(into))
}

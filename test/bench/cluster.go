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

// cluster is a set of daemons with their platform stand-ins and engines.
type cluster struct {
	dir    string
	binDir string

	objectAPI *proc.Process
	instances *proc.Process
	cloud     *proc.Process
	engines   []*proc.Process
	daemons   []*proc.Process
	processes []*proc.Process
}

// start starts the platform, the engines and the daemons, writes the configuration, and
// waits until every daemon serves requests. The engines and the daemons are distributed
// over three failure domains.
func (c *cluster) start(ctx context.Context, engines, daemons int, engineArgs ...string) error {
	for _, platform := range []struct {
		kind string
		into **proc.Process
		args []string
	}{
		{"objectapi", &c.objectAPI, nil}, {"instances", &c.instances, nil}, {"cloud", &c.cloud, nil},
	} {
		p, err := c.startProgram(ctx, platform.kind, "standin", append([]string{platform.kind}, platform.args...)...)
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
	if err := c.writeConfig(ctx); err != nil {
		return err
	}
	return c.awaitServing(ctx)
}

// domainOf returns the failure domain of the engine or daemon with index i.
func domainOf(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%3) }

// startProgram starts a program on a free loopback port and waits until it is ready.
func (c *cluster) startProgram(ctx context.Context, name, program string, args ...string) (*proc.Process, error) {
	p, err := proc.Start(ctx, proc.Spec{
		Name: name, Program: filepath.Join(c.binDir, program), Dir: c.dir,
		Args: append(args, "-listen", "127.0.0.1:0"),
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.processes = append(c.processes, p)
	return p, nil
}

// startEngine starts an engine and adds it to the instance list.
func (c *cluster) startEngine(ctx context.Context, i int, args []string) error {
	name := fmt.Sprintf("engine-%d", i)
	p, err := c.startProgram(ctx, name, "standin", append([]string{"engine", "-name", name, "-pool", pool, "-version", "v1"}, args...)...)
	if err != nil {
		return err
	}
	c.engines = append(c.engines, p)
	return c.addInstance(ctx, instances.Instance{
		Name: name, Address: p.Address, Domain: domainOf(i), Region: region, Role: "upstream", Pool: pool,
		Version: "v1", Class: "reclaimable", PricePerHour: 1, State: "live",
	})
}

// startDaemon starts a daemon and adds it to the instance list.
func (c *cluster) startDaemon(ctx context.Context, i int) error {
	name := fmt.Sprintf("entry-%d", i)
	p, err := c.startProgram(ctx, name, "rattantided", "-name", name, "-domain", domainOf(i), "-region", region,
		"-object-api", c.objectAPI.Address, "-instance-list", c.instances.Address, "-cloud", c.cloud.Address,
		"-peer-token", peerToken, "-operator-token", operatorToken, "-log-level", "info", "-log-requests", "0")
	if err != nil {
		return err
	}
	c.daemons = append(c.daemons, p)
	return c.addInstance(ctx, instances.Instance{
		Name: name, Address: p.Address, Domain: domainOf(i), Region: region, Role: "daemon",
		Class: "reclaimable", PricePerHour: 0.1, State: "live",
	})
}

// addListedUpstreams adds n upstreams without processes to the instance list. They have
// the addresses of running engines, so that polls of them are answered.
func (c *cluster) addListedUpstreams(ctx context.Context, n int) error {
	for i := range n {
		err := c.addInstance(ctx, instances.Instance{
			Name: fmt.Sprintf("phantom-%d", i), Address: c.engines[i%len(c.engines)].Address, Domain: domainOf(i),
			Region: region, Role: "upstream", Pool: pool, Version: "v1", Class: "reclaimable", PricePerHour: 1, State: "live",
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// setOutage starts or ends an outage of the object API.
func (c *cluster) setOutage(ctx context.Context, isActive bool) error {
	return sendJSON(ctx, http.MethodPost, "http://"+c.objectAPI.Address+"/control/faults", "", map[string]bool{"outage": isActive})
}

// sendReclaimNotice sends a reclaim notice for a daemon. It does not kill the daemon at
// the deadline.
func (c *cluster) sendReclaimNotice(ctx context.Context, name string, notice time.Duration) error {
	return sendJSON(ctx, http.MethodPost, "http://"+c.cloud.Address+"/control/notices", "", map[string]any{
		"instance": name, "deadlineMs": notice.Milliseconds(), "kind": "reclaim",
	})
}

// addInstance adds an instance to the instance list.
func (c *cluster) addInstance(ctx context.Context, i instances.Instance) error {
	return sendJSON(ctx, http.MethodPost, "http://"+c.instances.Address+"/control/instances", "", i)
}

// writeConfig writes the objects of the configuration through the first daemon.
func (c *cluster) writeConfig(ctx context.Context) error {
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
			return sendJSON(ctx, http.MethodPut, url, operatorToken, body)
		})
		if err != nil {
			return errors.Annotatef(err, "%s/%s", o.kind, o.name)
		}
	}
	return nil
}

// awaitServing waits until every daemon answers a one-token chat.
func (c *cluster) awaitServing(ctx context.Context) error {
	for _, d := range c.daemons {
		err := proc.Eventually(ctx, startTimeout, d.Done(), func() error {
			return sendJSON(ctx, http.MethodPost, "http://"+d.Address+"/v1/chat/completions", workspaceToken, map[string]any{
				"model": pool, "max_tokens": 1, "messages": []map[string]string{{"role": "user", "content": "ready?"}},
			})
		})
		if err != nil {
			return errors.Annotate(err, d.LogTail())
		}
	}
	return nil
}

// killAll kills all processes. An orderly stop is not needed, because no state outlives
// a measurement.
func (c *cluster) killAll() {
	for _, p := range c.processes {
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

func sendJSON(ctx context.Context, method, url, token string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Trace(err)
	}
	return call(ctx, method, url, token, encoded, nil)
}

func getJSON(ctx context.Context, url, token string, out any) error {
	return call(ctx, http.MethodGet, url, token, nil, out)
}

// call sends a request with a JSON body and decodes the JSON response into out, unless
// out is nil. A status other than 2xx is an error.
func call(ctx context.Context, method, url, token string, body []byte, out any) error {
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
	if out == nil {
		return nil
	}
	return errors.Trace(json.NewDecoder(response.Body).Decode(out))
}

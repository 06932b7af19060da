package daemon

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	pathpkg "path"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"rattantide/internal/proc"
	"rattantide/internal/standin/instances"
	"rattantide/internal/standin/service"
	"rattantide/internal/standin/tcplink"
)

// Guards against callers of a daemon that has lost its path to all upstreams, and only to
// them, being refused although another daemon reaches them.
func TestCallersOfDaemonWithoutUpstreamsAreServed(t *testing.T) {
	for name, fault := range map[string]tcplink.PathFault{"hang": tcplink.PathHangs, "reset": tcplink.PathResets} {
		t.Run(name, func(t *testing.T) { testLostPath(t, fault) })
	}
}

func testLostPath(t *testing.T, fault tcplink.PathFault) {
	// detectionTime is the time after which a lost path may not matter any more.
	const detectionTime, cutTime = 3 * time.Second, 5 * time.Second
	network := tcplink.NewNetwork()
	t.Cleanup(network.Close)
	list := instances.New()
	serve := func(h http.Handler) string {
		server := httptest.NewServer(h)
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		return addressOf(server)
	}
	for i := range 3 {
		name := fmt.Sprint("u", i)
		list.Set(instances.Instance{Name: name, Address: serve(service.New(service.Config{Name: name, Version: "v1"})), Domain: "zone-a", Region: "default", Role: "upstream", Pool: "app", Version: "v1", State: "live"})
	}
	listAddress, api := serve(list), addressOf(startObjectAPI(t))
	daemons := make([]*Daemon, 2)
	for i, name := range []string{"a", "b"} {
		prepare := func(d *Daemon) {
			d.dialUpstream = func(ctx context.Context, _, address string) (net.Conn, error) { return network.Dial(ctx, i, address) }
		}
		daemons[i] = startDaemonWith(t, prepare, "-name", name, "-object-api", api, "-instance-list", listAddress)
		list.Set(instances.Instance{Name: name, Address: daemons[i].settings.Advertise, Domain: "zone-a", Region: "default", Role: "daemon", State: "live"})
	}
	putLookupRoute(t, http.DefaultClient, "http", daemons[0])
	call := func(d *Daemon) int {
		return send(t, &http.Client{Timeout: 5 * time.Second}, http.MethodGet, "http://"+d.settings.Advertise+"/jobs/7", "token", "")
	}
	assert.NilError(t, proc.Eventually(t.Context(), waitLimit, nil, func() error {
		for _, d := range daemons {
			if status := call(d); status != http.StatusOK || len(d.table.Daemons()) == 0 {
				return errors.Errorf("status %d, %d daemons", status, len(d.table.Daemons()))
			}
		}
		return nil
	}))
	network.Set(0, fault)
	cutAt := time.Now()
	served, total := 0, 0
	for time.Since(cutAt) < cutTime {
		isLate := time.Since(cutAt) >= detectionTime
		status := call(daemons[0])
		if isLate {
			total++
			if status == http.StatusOK {
				served++
			}
		}
		<-time.After(20 * time.Millisecond)
	}
	t.Logf("%d of %d served", served, total)
	assert.Assert(t, total > 0 && served == total, "%d of %d served", served, total)
	network.Set(0, tcplink.PathSound)
	assert.NilError(t, proc.Eventually(t.Context(), waitLimit, nil, func() error {
		if daemons[0].paths.IsLost("app") {
			return errors.New("the path is still lost")
		}
		return nil
	}))
	assert.Equal(t, call(daemons[0]), http.StatusOK)
}

// putLookupRoute stores the route /jobs/ to the pool app, and a workspace whose token is "token".
func putLookupRoute(t *testing.T, client *http.Client, scheme string, d *Daemon) {
	t.Helper()
	hash := sha256.Sum256([]byte("token"))
	for path, spec := range map[string]string{
		"Class/lookup": `{"target":{"answer":"1s"}}`, "Pool/app": `{"type":"service","version":"v1"}`,
		"Workspace/a": `{"tokenHash":"` + hex.EncodeToString(hash[:]) + `"}`,
	} {
		putObject(t, client, scheme, d, path, spec)
	}
	putObject(t, client, scheme, d, "Route/jobs", `{"prefix":"jobs","pool":"app","class":"lookup"}`)
}

// putObject stores an object through a daemon, with a client for a URL scheme.
func putObject(t *testing.T, client *http.Client, scheme string, d *Daemon, path, spec string) {
	t.Helper()
	<-d.syncer.Ready()
	body := fmt.Sprintf(`{"kind":%q,"name":%q,"spec":%s}`, pathpkg.Dir(path), pathpkg.Base(path), spec)
	status := send(t, client, http.MethodPut, scheme+"://"+d.settings.Advertise+"/admin/v1/objects/"+path, "operator", body)
	assert.Equal(t, status/100, 2, path)
}

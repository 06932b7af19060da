package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kataras/iris/v12"
	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/objecttest"
	"rattantide/internal/peer"
)

// testTimeout bounds the wait for conditions that normally hold almost immediately.
const testTimeout = 30 * time.Second

// fakePlatform serves the instance list and the cloud API.
type fakePlatform struct {
	mu        sync.Mutex
	list      membership.InstanceList
	notices   []membership.Notice
	changed   chan struct{}
	listCalls atomic.Int64
}

func (p *fakePlatform) setInstances(instances ...membership.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = membership.InstanceList{Revision: p.list.Revision + 1, Instances: instances}
}

func (p *fakePlatform) addNotice(n membership.Notice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n.Seq = int64(len(p.notices) + 1)
	p.notices = append(p.notices, n)
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/instances" {
		p.listCalls.Add(1)
		p.mu.Lock()
		defer p.mu.Unlock()
		_ = json.NewEncoder(w).Encode(p.list)
		return
	}
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	p.mu.Lock()
	changed := p.changed
	if since >= len(p.notices) {
		p.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(waitMs) * time.Millisecond):
		}
		p.mu.Lock()
	}
	defer p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(noticeResponse{Seq: int64(len(p.notices)), Notices: p.notices[min(since, len(p.notices)):]})
}

// testNode is a daemon of a cluster.
type testNode struct {
	self   membership.Daemon
	cache  *Cache
	table  *membership.Table
	syncer *Syncer
	server *http.Server
	cancel context.CancelFunc
	done   chan struct{}
	// isHung makes the daemon's server accept calls and never respond to them.
	isHung atomic.Bool
	// bytesIn is the number of bytes received from peers and the platform, and calls
	// the number of calls to them.
	bytesIn, calls atomic.Int64
}

func (n *testNode) stop() {
	n.cancel()
	<-n.done
	_ = n.server.Close()
}

// hangingWriter discards the responses of a hung daemon, including those to calls
// that were already waiting when it began to hang.
type hangingWriter struct {
	http.ResponseWriter
	node *testNode
}

func (h *hangingWriter) Write(p []byte) (int, error) {
	if h.node.isHung.Load() {
		return len(p), nil
	}
	return h.ResponseWriter.Write(p)
}

func (h *hangingWriter) WriteHeader(status int) {
	if !h.node.isHung.Load() {
		h.ResponseWriter.WriteHeader(status)
	}
}

// callCounter is a transport that counts the calls.
type callCounter struct {
	node *testNode
	base http.RoundTripper
}

func (c *callCounter) RoundTrip(r *http.Request) (*http.Response, error) {
	c.node.calls.Add(1)
	return c.base.RoundTrip(r)
}

// countingConn counts the received bytes as they arrive on the wire, so compressed
// responses count with their compressed size.
type countingConn struct {
	net.Conn
	node *testNode
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.node.bytesIn.Add(int64(n))
	return n, err
}

// cluster is a set of daemons that communicate over real HTTP.
type cluster struct {
	t        testing.TB
	store    *objecttest.Store
	platform *fakePlatform
	address  string
	nodes    []*testNode
}

func newCluster(t testing.TB) *cluster {
	c := &cluster{t: t, store: objecttest.New(), platform: &fakePlatform{changed: make(chan struct{})}}
	server := httptest.NewServer(c.platform)
	c.address = server.Listener.Addr().String()
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.stop()
		}
		server.CloseClientConnections()
		server.Close()
	})
	return c
}

// addNode adds a daemon of region "r" with a listening server, whose Syncer does not
// run yet. change may modify its options.
func (c *cluster) addNode(change func(*Options)) *testNode { return c.addNodeIn("r", change) }

func (c *cluster) addNodeIn(region string, change func(*Options)) *testNode {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(c.t, err)
	i := len(c.nodes)
	n := &testNode{
		self:  membership.Daemon{Name: fmt.Sprintf("d%02d", i), Address: listener.Addr().String(), Domain: fmt.Sprintf("z%d", i%3), Region: region},
		cache: NewCache(), done: make(chan struct{}),
	}
	n.table = membership.NewTable(n.self, membership.Options{})
	dialer := &net.Dialer{}
	client := &http.Client{Transport: &callCounter{node: n, base: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{conn, n}, nil
		},
	}}}
	options := Options{
		Store: c.store, Cache: n.cache, Table: n.table, Region: region,
		Peers: &peer.Client{HTTP: client}, HTTP: client, InstanceListAddress: c.address, CloudAddress: c.address,
	}
	if change != nil {
		change(&options)
	}
	n.syncer = NewSyncer(options)
	app := iris.New()
	app.Logger().SetLevel("disable")
	n.syncer.RegisterHandlers(app.Party("/peer/v1"))
	assert.NilError(c.t, app.Build())
	n.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hanging := &hangingWriter{ResponseWriter: w, node: n}
		app.ServeHTTP(hanging, r)
		if n.isHung.Load() {
			<-r.Context().Done()
		}
	})}
	go func() { _ = n.server.Serve(listener) }()
	c.nodes = append(c.nodes, n)
	return n
}

// run starts the daemon's Syncer.
func (n *testNode) run() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		_ = n.syncer.Run(ctx)
	}()
}

// start adds count daemons, publishes the instance list, starts the daemons and waits
// until all are ready and know each other.
func (c *cluster) start(count int) {
	for range count {
		c.addNode(nil)
	}
	c.publish()
	for _, n := range c.nodes {
		n.run()
	}
	for _, n := range c.nodes {
		c.await(n, "ready", func() bool {
			select {
			case <-n.syncer.Ready():
				return len(n.table.AllDaemons()) == count-1
			default:
				return false
			}
		})
	}
}

// publish sets the instance list to all daemons and one upstream.
func (c *cluster) publish() {
	instances := []membership.Instance{upstream}
	for _, n := range c.nodes {
		instances = append(instances, membership.Instance{
			Name: n.self.Name, Address: n.self.Address, Domain: n.self.Domain, Region: n.self.Region, Role: membership.RoleDaemon, State: membership.StateLive,
		})
	}
	c.platform.setInstances(instances...)
}

var upstream = membership.Instance{
	Name: "u1", Address: "u1:1", Domain: "z0", Region: "r", Role: membership.RoleUpstream, Pool: "p", State: membership.StateLive,
}

func (c *cluster) put(kind, name, value string) objectclient.Object {
	o, err := c.store.Put(context.Background(), kind, name, objectclient.AnyVersion, json.RawMessage(value))
	assert.NilError(c.t, err)
	return *o
}

// await waits until a condition holds. It is evaluated whenever the node's
// configuration or membership changes.
func (c *cluster) await(n *testNode, description string, condition func() bool) {
	c.t.Helper()
	timeout := time.After(testTimeout)
	for {
		objects, members := n.cache.Changed(), n.table.Changed()
		if condition() {
			return
		}
		select {
		case <-objects:
		case <-members:
		case <-time.After(50 * time.Millisecond):
			// Neither channel is closed when the Syncer becomes ready.
		case <-timeout:
			c.t.Fatalf("%s: timed out waiting for %s", n.self.Name, description)
		}
	}
}

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

// patience bounds a wait that is expected to end at once.
const patience = 30 * time.Second

// platform is the instance list and the cloud API.
type platform struct {
	mu        sync.Mutex
	list      membership.InstanceList
	notices   []membership.Notice
	changed   chan struct{}
	listCalls atomic.Int64
}

func (p *platform) set(instances ...membership.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = membership.InstanceList{Revision: p.list.Revision + 1, Instances: instances}
}

func (p *platform) notice(n membership.Notice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n.Seq = int64(len(p.notices) + 1)
	p.notices = append(p.notices, n)
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	_ = json.NewEncoder(w).Encode(noticeAnswer{Seq: int64(len(p.notices)), Notices: p.notices[min(since, len(p.notices)):]})
}

// node is a daemon of a cluster.
type node struct {
	self   membership.Daemon
	cache  *Cache
	table  *membership.Table
	syncer *Syncer
	server *http.Server
	cancel context.CancelFunc
	done   chan struct{}
	// hung makes the daemon's server accept calls and never answer them.
	hung atomic.Bool
	// bytesIn and calls count what peers and the platform sent.
	bytesIn, calls atomic.Int64
}

func (n *node) stop() {
	n.cancel()
	<-n.done
	_ = n.server.Close()
}

// hangingWriter keeps the answers of a hung daemon back, those of calls that
// were waiting before too.
type hangingWriter struct {
	http.ResponseWriter
	node *node
}

func (h *hangingWriter) Write(p []byte) (int, error) {
	if h.node.hung.Load() {
		return len(p), nil
	}
	return h.ResponseWriter.Write(p)
}

func (h *hangingWriter) WriteHeader(status int) {
	if !h.node.hung.Load() {
		h.ResponseWriter.WriteHeader(status)
	}
}

// countingTransport counts the calls and the bytes of the answers as they
// arrive on the wire, compressed ones as they are.
type countingTransport struct {
	node *node
	base http.RoundTripper
}

func (c *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.node.calls.Add(1)
	return c.base.RoundTrip(r)
}

type countingConn struct {
	net.Conn
	node *node
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.node.bytesIn.Add(int64(n))
	return n, err
}

// cluster is a region of daemons with real HTTP between them.
type cluster struct {
	t        testing.TB
	store    *objecttest.Store
	platform *platform
	address  string
	nodes    []*node
}

func newCluster(t testing.TB) *cluster {
	c := &cluster{t: t, store: objecttest.New(), platform: &platform{changed: make(chan struct{})}}
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

// listen makes a daemon that is not running yet.
func (c *cluster) listen(change func(*Options)) *node { return c.listenIn("r", change) }

func (c *cluster) listenIn(region string, change func(*Options)) *node {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(c.t, err)
	i := len(c.nodes)
	n := &node{
		self:  membership.Daemon{Name: fmt.Sprintf("d%02d", i), Address: listener.Addr().String(), Domain: fmt.Sprintf("z%d", i%3), Region: region},
		cache: NewCache(), done: make(chan struct{}),
	}
	n.table = membership.NewTable(n.self, membership.Options{})
	dialer := &net.Dialer{}
	client := &http.Client{Transport: &countingTransport{node: n, base: &http.Transport{
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
		Peers: &peer.Client{HTTP: client}, HTTP: client, InstanceList: c.address, Cloud: c.address,
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
		if n.hung.Load() {
			<-r.Context().Done()
		}
	})}
	go func() { _ = n.server.Serve(listener) }()
	c.nodes = append(c.nodes, n)
	return n
}

func (n *node) run() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		_ = n.syncer.Run(ctx)
	}()
}

// start runs count daemons that the instance list names.
func (c *cluster) start(count int) {
	for range count {
		c.listen(nil)
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

// publish puts all daemons and one upstream on the instance list.
func (c *cluster) publish() {
	instances := []membership.Instance{upstream}
	for _, n := range c.nodes {
		instances = append(instances, membership.Instance{
			Name: n.self.Name, Address: n.self.Address, Domain: n.self.Domain, Region: n.self.Region, Role: membership.RoleDaemon, State: membership.StateLive,
		})
	}
	c.platform.set(instances...)
}

var upstream = membership.Instance{
	Name: "u1", Address: "u1:1", Domain: "z0", Region: "r", Role: membership.RoleUpstream, Pool: "p", State: membership.StateLive,
}

func (c *cluster) put(kind, name, value string) objectclient.Object {
	o, err := c.store.Put(context.Background(), kind, name, objectclient.AnyVersion, json.RawMessage(value))
	assert.NilError(c.t, err)
	return *o
}

// await waits until a condition on a node holds; it is looked at whenever the
// node's configuration or membership changes.
func (c *cluster) await(n *node, what string, holds func() bool) {
	c.t.Helper()
	limit := time.After(patience)
	for {
		objects, members := n.cache.Changed(), n.table.Changed()
		if holds() {
			return
		}
		select {
		case <-objects:
		case <-members:
		case <-time.After(50 * time.Millisecond):
			// Ready does not count as a change.
		case <-limit:
			c.t.Fatalf("%s: %s did not happen", n.self.Name, what)
		}
	}
}

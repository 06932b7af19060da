package handoff

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kataras/iris/v12"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"rattantide/internal/configsync"
	"rattantide/internal/dispatch"
	"rattantide/internal/engineclient"
	"rattantide/internal/journal"
	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/peer"
	"rattantide/internal/relay"
	"rattantide/internal/server"
	"rattantide/internal/standin/engine"
)

const (
	callerToken   = "token"
	answerSize    = 120
	streamBody    = `{"model":"brief","messages":[{"role":"user","content":"x"}],"seed":7,"max_tokens":120,"stream":true}`
	nonStreamBody = `{"model":"brief","messages":[{"role":"user","content":"x"}],"seed":7,"max_tokens":120}`
)

func wantText() string {
	key := engine.AnswerKey([]engineclient.Message{{Role: "user", Content: "x"}}, 7, "v1")
	return engine.Answer(key, answerSize)
}

// memberView implements Members, and a Chooser that always chooses the same engine.
type memberView struct {
	mu       sync.Mutex
	daemons  []membership.Daemon
	changed  chan struct{}
	upstream membership.Upstream
}

func (v *memberView) Daemons() []membership.Daemon {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]membership.Daemon(nil), v.daemons...)
}

func (v *memberView) AllDaemons() []membership.Daemon { return v.Daemons() }

func (v *memberView) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *memberView) update(change func(d []membership.Daemon) []membership.Daemon) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.daemons = change(v.daemons)
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *memberView) Upstream(name string) (membership.Upstream, bool) {
	return v.upstream, name == v.upstream.Name
}

func (v *memberView) Choose(context.Context, *dispatch.Request) (*dispatch.Choice, error) {
	return &dispatch.Choice{Upstream: v.upstream, Version: "v1", Done: func(dispatch.Result) {}}, nil
}

// node is a daemon that has only the request path: server, journal and Manager.
type node struct {
	self        membership.Daemon
	manager     *Manager
	server      *server.Server
	journal     *journal.Journal
	http        *httptest.Server
	peerHandler http.Handler
	stop        func()
	// intercept, when set, may serve a request instead of the daemon; it
	// returns true if it did.
	intercept atomic.Pointer[func(w http.ResponseWriter, r *http.Request) bool]
	// frozen blocks the node's clock and its HTTP server while it is locked.
	frozen      sync.RWMutex
	clockOffset atomic.Int64
}

func (n *node) now() time.Time {
	n.frozen.RLock()
	defer n.frozen.RUnlock()
	return time.Now().Add(time.Duration(n.clockOffset.Load()))
}

// unfreeze ends a freeze that lasted for d in the node's time.
func (n *node) unfreeze(d time.Duration) {
	n.clockOffset.Add(int64(d))
	n.frozen.Unlock()
}

func (n *node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_ = n.now()
	if f := n.intercept.Load(); f != nil && (*f)(w, r) {
		return
	}
	if strings.HasPrefix(r.URL.Path, "/peer/") {
		n.peerHandler.ServeHTTP(w, r)
		return
	}
	n.server.Handler().ServeHTTP(w, r)
}

func peerAPI(m *Manager) http.Handler {
	app := iris.New()
	app.Logger().SetLevel("disable")
	m.RegisterHandlers(app.Party("/peer/v1"))
	if err := app.Build(); err != nil {
		panic(err)
	}
	return app
}

// kill stops the node without notifying others.
func (n *node) kill() {
	n.stop()
	n.http.CloseClientConnections()
	_ = n.http.Listener.Close()
	n.server.Close()
}

type cluster struct {
	t      testing.TB
	view   *memberView
	engine *engine.Engine
	nodes  []*node
	client *http.Client
}

func newCluster(t testing.TB, size int) *cluster {
	return newClusterWithTimeout(t, size, 20*time.Second)
}

// newClusterWithTimeout returns a cluster in which timeout bounds calls between
// daemons. Only tests with a daemon that does not answer need a short one.
func newClusterWithTimeout(t testing.TB, size int, timeout time.Duration) *cluster {
	config := engine.DefaultConfig()
	config.TokenTime = 2 * time.Millisecond
	config.Slots, config.MaxWaiting, config.KVTokens = 1024, 1024, 1<<30
	c := &cluster{t: t, engine: engine.New(config), view: &memberView{changed: make(chan struct{})}, client: &http.Client{Transport: &http.Transport{}}}
	backend := httptest.NewServer(c.engine)
	c.view.upstream = membership.Upstream{Name: "engine", Address: backend.Listener.Addr().String(), Version: "v1", Domain: "a"}
	for i := range size {
		n := &node{http: httptest.NewUnstartedServer(nil)}
		n.self = membership.Daemon{Name: fmt.Sprintf("d%d", i), Address: n.http.Listener.Addr().String(), Domain: fmt.Sprintf("z%d", i%3)}
		c.nodes = append(c.nodes, n)
		c.view.daemons = append(c.view.daemons, n.self)
	}
	for _, n := range c.nodes {
		c.start(n, timeout)
	}
	t.Cleanup(func() {
		c.client.CloseIdleConnections()
		for _, n := range c.nodes {
			n.kill()
			n.http.Close()
			n.journal.Close()
		}
		c.engine.Close()
		backend.Close()
	})
	return c
}

func (c *cluster) start(n *node, timeout time.Duration) {
	// A call that ends after the node is stopped would leave an idle
	// connection.
	transport := &http.Transport{DisableKeepAlives: true}
	client := &http.Client{Transport: transport}
	n.journal = journal.New(journal.Options{})
	n.manager = New(Options{
		Self: n.self, Members: c.view, Peers: &peer.Client{HTTP: client}, Journal: n.journal,
		CallTimeout: timeout, HolderTimeout: timeout, FreezeThreshold: time.Minute,
	})
	n.manager.freezeDetector = newFreezeDetector(n.now, time.Minute)
	n.server = server.New(server.Options{
		Self: n.self, Config: testConfig(), Members: c.view, Chooser: c.view, Journal: n.journal,
		Engine: server.EngineClient{Client: engineclient.New(client)}, Handoff: n.manager,
	})
	n.manager.SetWorker(n.server)
	n.peerHandler = peerAPI(n.manager)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.manager.Run(ctx)
	}()
	n.stop = sync.OnceFunc(func() {
		cancel()
		<-ended
		transport.CloseIdleConnections()
	})
	n.http.Config.Handler = n
	n.http.Start()
}

func testConfig() *configsync.Cache {
	sum := sha256.Sum256([]byte(callerToken))
	cache := configsync.NewCache()
	for i, o := range []struct{ kind, name, spec string }{
		{"Class", "chat", `{"target":{"firstToken":"1s","betweenTokens":"50ms"}}`},
		{"Pool", "llm", `{"type":"chat","version":"v1"}`},
		{"Route", "brief", `{"model":"brief","pool":"llm","class":"chat"}`},
		{"Workspace", "a", `{"tokenHash":"` + hex.EncodeToString(sum[:]) + `"}`},
	} {
		cache.Apply(objectclient.Object{Kind: o.kind, Name: o.name, Version: objectclient.Revision(i + 1), Value: []byte(`{"spec":` + o.spec + `}`)})
	}
	return cache
}

func (c *cluster) do(n *node, method, path, body string, header ...string) *http.Response {
	request, err := http.NewRequest(method, "http://"+n.self.Address+path, strings.NewReader(body))
	assert.NilError(c.t, err)
	request.Header.Set("Authorization", "Bearer "+callerToken)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := c.client.Do(request)
	assert.NilError(c.t, err)
	c.t.Cleanup(func() { response.Body.Close() })
	return response
}

func (c *cluster) body(n *node, method, path, body string, header ...string) []byte {
	content, err := io.ReadAll(c.do(n, method, path, body, header...).Body)
	assert.Check(c.t, err)
	return content
}

// open starts a stream at a node and reads the given number of events.
func (c *cluster) open(n *node, id string, events int) *stream {
	s := newStream(c.do(n, "POST", "/v1/chat/completions", streamBody, "X-Request-Id", id))
	s.read(events)
	assert.Equal(c.t, s.last, int64(events))
	return s
}

// resume continues a stream at a node to its end and checks the whole text.
func (c *cluster) resume(n *node, id string, s *stream) {
	c.t.Helper()
	next := newStream(c.do(n, "GET", "/v1/requests/"+id+"/stream", "", "Last-Event-ID", fmt.Sprint(s.last)))
	next.last, next.text = s.last, s.text
	next.read(1 << 20)
	assert.Assert(c.t, next.done, "status %d after event %d", next.status, next.last)
	assert.Equal(c.t, next.text, wantText())
}

// backupOf waits until a node has a copy that includes an attempt, and returns
// the node.
func (c *cluster) backupOf(id string) (found *node) {
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		for _, n := range c.nodes {
			n.manager.backups.mu.Lock()
			b := n.manager.backups.entries[id]
			ok := b != nil && b.copied != nil && len(b.copied.Attempts) > 0
			n.manager.backups.mu.Unlock()
			if ok {
				found = n
				return poll.Success()
			}
		}
		return poll.Continue("no copy of %s", id)
	}, poll.WithDelay(time.Millisecond))
	return found
}

// starts returns the number of generations that the engine started.
func (c *cluster) starts() (n int) {
	for _, e := range c.engine.Log().Entries(0) {
		if e.Event == "start" {
			n++
		}
	}
	return n
}

// stream reads events and checks that none is missing or repeated.
type stream struct {
	reader    *relay.Reader
	status    int
	last      int64
	text      string
	done      bool
	successor string
}

func newStream(response *http.Response) *stream {
	s := &stream{reader: relay.NewReader(response.Body, 0), status: response.StatusCode}
	s.reader.OnComment = func(text []byte) {
		if address, ok := strings.CutPrefix(string(text), "successor "); ok {
			s.successor = address
		}
	}
	return s
}

func (s *stream) read(events int) {
	for range events {
		e, err := s.reader.Next()
		if err != nil {
			return
		}
		if string(e.Data) == "[DONE]" {
			s.done = true
			return
		}
		if !s.accept(e.ID, e.Data) {
			return
		}
	}
}

// accept adds an event and returns true if it is the next one.
func (s *stream) accept(id int64, data []byte) bool {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if id != s.last+1 || json.Unmarshal(data, &chunk) != nil || len(chunk.Choices) == 0 {
		return false
	}
	s.last = id
	s.text += chunk.Choices[0].Delta.Content
	return true
}

package orders

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/engineclient"
	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/objecttest"
	"rattantide/internal/standin/engine"
	"rattantide/internal/standin/memnet"
)

// fixture is a pool of engines that serve the version of an undone move.
type fixture struct {
	t       *testing.T
	ctx     context.Context
	store   *objecttest.Store
	network *memnet.Network
	engines []*engine.Engine
	list    membership.InstanceList
	holders []*holder
	stops   []func()

	mu sync.Mutex
	// granted is the holder whose lease is valid, and fence its token.
	granted *holder
	fence   int64
}

func newFixture(t *testing.T, fencing api.Fencing, count int, loadTime time.Duration) *fixture {
	ctx, cancel := context.WithCancel(t.Context())
	f := &fixture{t: t, ctx: ctx, store: objecttest.New(), network: memnet.New(), stops: []func(){cancel}}
	f.list.Revision = 1
	for i := range count {
		e := engine.New(engine.Config{Version: "v2", CheckFence: fencing == api.FencingChecked, LoadTime: loadTime,
			TokenTime: 100 * time.Millisecond, LoadLag: 200 * time.Millisecond})
		address := fmt.Sprintf("e%d:1", i)
		f.engines = append(f.engines, e)
		f.stops = append(f.stops, e.Close, f.network.Serve(address, e))
		f.list.Instances = append(f.list.Instances, membership.Instance{Name: fmt.Sprintf("e%d", i), Address: address,
			Role: membership.RoleUpstream, Pool: "draft", Version: "v2", State: membership.StateLive})
	}
	f.put(api.KindPool, "draft", api.Pool{Type: api.PoolChat, Version: "v1", Fencing: fencing}, nil)
	f.put(api.KindVersionMove, "m", api.VersionMove{Pool: "draft", From: "v1", To: "v2"}, &api.MoveStatus{Phase: api.MoveUndone})
	return f
}

// put stores an object and lets all holders see it.
func (f *fixture) put(kind api.Kind, name string, spec any, status *api.MoveStatus) {
	var stored api.Stored
	stored.Spec, _ = json.Marshal(spec)
	if status != nil {
		stored.Status, _ = json.Marshal(status)
	}
	value, err := json.Marshal(stored)
	assert.NilError(f.t, err)
	o, err := f.store.Put(f.ctx, string(kind), name, objectclient.AnyVersion, value)
	assert.NilError(f.t, err)
	for _, h := range f.holders {
		h.config.Apply(*o)
	}
}

// want makes a version the pool's own, as the end of another move does.
func (f *fixture) want(version string, fencing api.Fencing) {
	f.put(api.KindPool, "draft", api.Pool{Type: api.PoolChat, Version: version, Fencing: fencing}, nil)
}

// start adds a daemon that reconciles until the fixture is closed.
func (f *fixture) start(options Options) *holder {
	h := &holder{fixture: f, config: configsync.NewCache(), Client: engineclient.New(f.network.Client()),
		table: membership.NewTable(membership.Daemon{Name: fmt.Sprint("d", len(f.holders))}, membership.Options{})}
	h.table.ApplyList(f.list)
	for _, kind := range []api.Kind{api.KindPool, api.KindVersionMove} {
		list, err := f.store.List(f.ctx, string(kind))
		assert.NilError(f.t, err)
		for _, o := range list.Items {
			h.config.Apply(o)
		}
	}
	f.holders = append(f.holders, h)
	options.Store, options.Config, options.Leases, options.Table, options.Engines = f.store, h.config, h, h.table, h
	c := New(options)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(f.ctx)
	}()
	f.stops = append(f.stops, func() { <-done; h.CloseIdle() })
	return h
}

// grant makes h the holder with a higher token.
func (f *fixture) grant(h *holder) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.granted = h
	f.fence += 10
}

func (f *fixture) close() {
	f.stops[0]()
	for i := len(f.stops) - 1; i > 0; i-- {
		f.stops[i]()
	}
}

// logged returns "fence version" of each entry of an event in an engine's log.
func (f *fixture) logged(i int, event string) (out []string) {
	for _, e := range f.engines[i].Log().Entries(0) {
		if e.Event == event {
			out = append(out, fmt.Sprintf("%d %s", e.Fence, e.Version))
		}
	}
	return out
}

// serving returns the versions of the engines, in order.
func (f *fixture) serving() string {
	var out []string
	for i := range f.engines {
		state, err := engineclient.New(f.network.Client()).OrderState(f.ctx, f.list.Instances[i].Address)
		if err != nil {
			out = append(out, "gone")
			continue
		}
		out = append(out, state.Version)
	}
	return strings.Join(out, " ")
}

// busy gives an engine a generation that takes a while.
func (f *fixture) busy(i, tokens int) {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, tokens)
	client := f.network.Client()
	go func() {
		defer client.CloseIdleConnections()
		req, _ := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+f.list.Instances[i].Address+"/v1/chat/completions", strings.NewReader(body))
		if res, err := client.Do(req); err == nil {
			defer res.Body.Close()
			_, _ = res.Body.Read(make([]byte, 1))
			<-f.ctx.Done()
		}
	}()
}

// reclaim takes an engine away.
func (f *fixture) reclaim(i int) {
	f.stops[2+2*i]()
	f.stops[2+2*i] = func() {}
	for _, h := range f.holders {
		h.table.ApplyNotices(membership.Notice{Seq: 1, Instance: f.list.Instances[i].Name, Kind: membership.NoticeReclaim, DeadlineMs: 1})
	}
}

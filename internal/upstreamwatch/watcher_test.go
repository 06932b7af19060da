package upstreamwatch

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/engineclient"
	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/routing"
)

// fakePlatform is a fake Table and a fake set of upstreams.
type fakePlatform struct {
	mu        sync.Mutex
	upstreams []membership.Upstream
	// loads counts the load reports and refused the evidence of a refused connection,
	// by upstream. draining holds when an upstream last reported that it is draining.
	loads    map[string]int
	draining map[string]time.Time
	refused  map[string]int
	// bytes is the size of all responses.
	bytes int
	// hung is the upstream that does not respond, dead the one that refuses connections.
	hung string
	dead string
}

func (p *fakePlatform) Pools() []string                        { return []string{"p"} }
func (p *fakePlatform) Upstreams(string) []membership.Upstream { return p.upstreams }

func (p *fakePlatform) SetLoad(name string, load membership.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads[name]++
	if load.Draining {
		p.draining[name] = time.Now()
	}
}

func (p *fakePlatform) Observe(name string, e membership.Evidence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e == membership.EvidenceRefused {
		p.refused[name]++
	}
}

func (p *fakePlatform) Load(ctx context.Context, address string) (*membership.Load, error) {
	switch address {
	case p.hung:
		<-ctx.Done()
		return nil, &engineclient.Error{Err: ctx.Err()}
	case p.dead:
		return nil, &engineclient.Error{NotRun: true}
	}
	time.Sleep(5 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytes += loadCallBytes
	return &membership.Load{Draining: address == "u3", ReceivedAt: time.Now()}, nil
}

func (p *fakePlatform) CacheEvents(_ context.Context, _ string, since int64) (*engineclient.CacheEvents, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bytes += eventCallBytes + 20*bytesPerEvent
	response := &engineclient.CacheEvents{Seq: since + 20}
	for i := since + 1; i <= response.Seq; i++ {
		response.Events = append(response.Events, engineclient.CacheEvent{Seq: i, Type: engineclient.CacheStored, Block: engineclient.FormatBlock(uint64(4 * i))})
	}
	return response, nil
}

func runWatcher(t *testing.T, p *fakePlatform, n int, d time.Duration) *routing.Trackers {
	for i := range n {
		name := fmt.Sprintf("u%d", i)
		p.upstreams = append(p.upstreams, membership.Upstream{Name: name, Address: name, Pool: "p"})
	}
	p.loads, p.draining, p.refused = map[string]int{}, map[string]time.Time{}, map[string]int{}
	config := configsync.NewCache()
	spec, err := json.Marshal(api.Pool{Type: api.PoolChat, Version: "v1"})
	assert.NilError(t, err)
	value, err := json.Marshal(api.StoredValue{Spec: spec})
	assert.NilError(t, err)
	config.Apply(objectclient.Object{Kind: string(api.KindPool), Name: "p", Version: 1, Value: value})
	trackers := &routing.Trackers{}
	w := New(Options{Fetch: p, Table: p, Trackers: trackers, Config: config})
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	assert.ErrorIs(t, w.Run(ctx), context.DeadlineExceeded)
	return trackers
}

// Guards against polls that exceed the byte budget when the subset is large, and
// against upstreams that are not polled.
func TestBudgetBoundsPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{}
		runWatcher(t, p, 100, 100*time.Second)
		assert.Assert(t, p.bytes <= 102*DefaultBytesPerSecond, "took %d bytes in 100 s", p.bytes)
		assert.Assert(t, p.bytes >= 90*DefaultBytesPerSecond, "took only %d bytes in 100 s", p.bytes)
		for _, u := range p.upstreams {
			assert.Assert(t, p.loads[u.Name] >= 7 && p.loads[u.Name] <= 10, "%s polled %d times", u.Name, p.loads[u.Name])
		}
	})
}

// Guards against a hung upstream that delays the polls of other upstreams, against a
// report of draining that is not passed on, and against a refused connection that is
// not recorded as evidence.
func TestFaultyUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{hung: "u1", dead: "u2"}
		start := time.Now()
		trackers := runWatcher(t, p, 6, 20*time.Second)
		assert.Assert(t, p.draining["u3"].Sub(start) > 0)
		assert.Assert(t, p.refused["u2"] > 10)
		assert.Equal(t, p.refused["u1"], 0)
		assert.Assert(t, p.loads["u0"] >= 30, "polled %d times in 20 s", p.loads["u0"])
		// The routing index must contain the blocks of the events.
		req := &routing.Request{PromptTokens: 640, Blocks: []uint64{4, 8, 12, 16}, Now: time.Now()}
		candidates := trackers.Pool("p").Candidates(req, p.upstreams[:1], nil)
		assert.Equal(t, candidates[0].CachedTokens, 640.0)
	})
}

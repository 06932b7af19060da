package intent

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"
	"github.com/kataras/iris/v12"
	"gotest.tools/v3/assert"

	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/objecttest"
	"rattantide/internal/peer"
	"rattantide/internal/standin/objectapi"
)

// pausableStore blocks the writes of one Log, before and after the call, to
// simulate a suspended process.
type pausableStore struct {
	objectclient.Store
	mu     sync.Mutex
	resume chan struct{}
}

func (p *pausableStore) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume == nil {
		p.resume = make(chan struct{})
	}
}

func (p *pausableStore) unpause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume != nil {
		close(p.resume)
		p.resume = nil
	}
}

func (p *pausableStore) waitWhilePaused() {
	p.mu.Lock()
	resume := p.resume
	p.mu.Unlock()
	if resume != nil {
		<-resume
	}
}

func (p *pausableStore) Put(ctx context.Context, kind, name string, version objectclient.Revision, value json.RawMessage) (*objectclient.Object, error) {
	p.waitWhilePaused()
	o, err := p.Store.Put(ctx, kind, name, version, value)
	p.waitWhilePaused()
	return o, err
}

// memoryNetwork passes calls between Logs in memory. It refuses the next refuse
// calls and loses the responses of the next lose calls.
type memoryNetwork struct {
	mu           sync.Mutex
	apps         map[string]http.Handler
	refuse, lose int
}

func (n *memoryNetwork) RoundTrip(r *http.Request) (*http.Response, error) {
	n.mu.Lock()
	app := n.apps[r.URL.Host]
	if r.URL.Host == apiAddress {
		n.mu.Unlock()
		return serveAPI(app, r)
	}
	refused := n.refuse > 0
	n.refuse = max(0, n.refuse-1)
	n.mu.Unlock()
	if refused || app == nil {
		return nil, errors.New("connection refused")
	}
	recorder := httptest.NewRecorder()
	app.ServeHTTP(recorder, r)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lose > 0 {
		n.lose--
		return nil, errors.New("connection reset")
	}
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

const apiAddress = "objectapi"

// serveAPI serves a call to the object API; an aborted handler becomes a
// connection error.
func serveAPI(app http.Handler, r *http.Request) (response *http.Response, err error) {
	defer func() {
		if recover() != nil {
			response, err = nil, errors.New("connection reset")
		}
	}()
	recorder := httptest.NewRecorder()
	app.ServeHTTP(recorder, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// fleet is a set of Logs that share a store and forward operations to each
// other.
type fleet struct {
	store *objecttest.Store
	// api replaces store when the Logs use the HTTP client.
	api            *objectapi.API
	network        *memoryNetwork
	pausableStores []*pausableStore
	logs           []*Log

	clock   atomic.Int64
	mu      sync.Mutex
	history []porcupine.Operation
	running sync.WaitGroup
}

func newFleet(t *testing.T, count, shards int, api *objectapi.API) *fleet {
	f := &fleet{store: objecttest.New(), api: api, network: &memoryNetwork{apps: map[string]http.Handler{apiAddress: api}}}
	var instances []membership.Instance
	for i := range count {
		name := fmt.Sprintf("d%d", i)
		instances = append(instances, membership.Instance{Name: name, Address: name, Role: membership.RoleDaemon, State: membership.StateLive})
	}
	for _, instance := range instances {
		table := membership.NewTable(membership.Daemon{Name: instance.Name, Address: instance.Address}, membership.Options{})
		table.ApplyList(membership.InstanceList{Revision: 1, Instances: instances})
		store := &pausableStore{Store: f.store}
		if f.api != nil {
			store.Store = objectclient.New(objectclient.Options{Address: apiAddress, HTTP: &http.Client{Transport: f.network}})
		}
		l := newTestLog(t, store, func(o *Options) {
			o.Table, o.Shards, o.SegmentBytes = table, shards, 600
			o.Peers = &peer.Client{HTTP: &http.Client{Transport: f.network}}
		})
		app := iris.New()
		app.Logger().SetLevel("disable")
		l.RegisterHandlers(app.Party("/peer/v1"))
		assert.NilError(t, app.Build())
		f.network.apps[instance.Address] = app
		f.pausableStores, f.logs = append(f.pausableStores, store), append(f.logs, l)
	}
	return f
}

func (f *fleet) record(in historyCall, called int64, out callResult, returned int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = append(f.history, porcupine.Operation{Input: in, Call: called, Output: out, Return: returned})
}

// beginAndFinish begins a call on a Log, bounded by timeout. A granted call is
// finished with the given execution after runTime. Both operations are recorded
// in the history.
func (f *fleet) beginAndFinish(l *Log, name, nonce string, timeout, runTime time.Duration, execution Execution) callResult {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	called := f.clock.Add(1)
	grant, err := l.Begin(ctx, key(name), "digest", nonce)
	out := callResult{grant: grant, failed: err != nil}
	f.record(historyCall{key: name, nonce: nonce}, called, out, f.clock.Add(1))
	if out.failed || !grant.Granted {
		return out
	}
	time.Sleep(runTime)
	called = f.clock.Add(1)
	l.Finish(key(name), nonce, Outcome{Execution: execution, Body: []byte(nonce)})
	// The outcome is recorded at an unknown time after Finish.
	f.record(historyCall{key: name, nonce: nonce, finish: execution}, called, callResult{}, 1<<60)
	return out
}

// injectFault injects or ends a fault of the store, of the network or, for 8 and 9,
// of one Log. Each number from 0 to 11 is a different change.
func (f *fleet) injectFault(fault, log int) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	if f.api != nil && fault <= 7 {
		f.api.Faults().Update(func(faults *objectapi.Faults) { injectAPIFault(fault, faults) })
		return
	}
	switch fault {
	case 0:
		f.store.LoseAnswers(2)
	case 1:
		f.store.DeferWrites(2)
	case 2:
		f.store.ApplyDeferredWrites()
	case 3:
		f.store.SetOutage(true)
	case 4:
		f.store.SetOutage(false)
	case 5:
		f.store.SetLatency(700 * time.Millisecond)
	case 6:
		f.store.SetLatency(0)
	case 7:
		f.store.SetStaleRevisions(2)
	case 8:
		f.pausableStores[log].pause()
	case 9:
		f.pausableStores[log].unpause()
	case 10:
		f.network.refuse = 2
	case 11:
		f.network.lose = 2
	}
}

// injectAPIFault sets the fault of the stand-in API that corresponds to a fault
// of the in-memory store.
func injectAPIFault(fault int, faults *objectapi.Faults) {
	switch fault {
	case 0:
		faults.LoseAnswers = 2
	case 1:
		faults.LateWrites, faults.LateMs = 2, 3000
	case 2:
		faults.WritesPerSecond, faults.ReadsPerSecond = 2, 4
	case 3, 4:
		faults.Outage = fault == 3
	case 5:
		faults.SlowMs = 700
	case 6:
		faults.SlowMs, faults.WritesPerSecond, faults.ReadsPerSecond = 0, 0, 0
	case 7:
		faults.StaleBehind = 2
	}
}

func (f *fleet) clearFaults() {
	if f.api != nil {
		f.api.Faults().Update(func(faults *objectapi.Faults) { *faults = objectapi.Faults{} })
	}
	f.store.SetOutage(false)
	f.store.SetLatency(0)
	f.store.SetStaleRevisions(0)
	f.store.DeferWrites(0)
	f.store.LoseAnswers(0)
	f.store.ApplyDeferredWrites()
	for _, p := range f.pausableStores {
		p.unpause()
	}
}

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
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"
	"github.com/kataras/iris/v12"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/objecttest"
	"rattantide/internal/peer"
	"rattantide/internal/standin/objectapi"
)

// pausedStore holds back the calls, and the answers, of one Log, as if its
// process was paused.
type pausedStore struct {
	objectclient.Store
	mu     sync.Mutex
	resume chan struct{}
}

func (p *pausedStore) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume == nil {
		p.resume = make(chan struct{})
	}
}

func (p *pausedStore) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume != nil {
		close(p.resume)
		p.resume = nil
	}
}

func (p *pausedStore) wait() {
	p.mu.Lock()
	resume := p.resume
	p.mu.Unlock()
	if resume != nil {
		<-resume
	}
}

func (p *pausedStore) Put(ctx context.Context, kind, name string, version int64, value json.RawMessage) (*objectclient.Object, error) {
	p.wait()
	o, err := p.Store.Put(ctx, kind, name, version, value)
	p.wait()
	return o, err
}

// network carries the calls between Logs in memory and may lose them or their
// answers.
type network struct {
	mu           sync.Mutex
	apps         map[string]http.Handler
	refuse, lose int
}

func (n *network) RoundTrip(r *http.Request) (*http.Response, error) {
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

// serveAPI answers a call of the object API, which may abort it.
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

// call is an operation of the history: a Begin, or a Finish when finish is set.
type call struct {
	key, nonce string
	finish     Ran
}

type callResult struct {
	grant  Grant
	failed bool
}

// keyState is the model of one key.
type keyState struct {
	open string
	ran  Ran
	by   string
}

// atMostOnce says that a key is granted only when nothing is open under it and
// nothing but "not run" is recorded, and that a recorded outcome is the one that
// was handed in.
var atMostOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			byKey[op.Input.(call).key] = append(byKey[op.Input.(call).key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(keyState), input.(call)
		if in.finish != "" {
			return s.open == in.nonce, keyState{ran: in.finish, by: in.nonce}
		}
		out := output.(callResult)
		switch {
		case out.failed, !out.grant.Granted && out.grant.Outcome.Ran != RanDone:
			return true, s
		case out.grant.Granted:
			return s.open == "" && (s.ran == "" || s.ran == RanNotRun), keyState{open: in.nonce}
		}
		return s.open == "" && s.ran == RanDone && s.by == string(out.grant.Outcome.Body), s
	},
}

// fleet is a number of Logs that share a store and forward to each other.
type fleet struct {
	store *objecttest.Store
	// api replaces store when the Logs use the HTTP client.
	api     *objectapi.API
	network *network
	paused  []*pausedStore
	logs    []*Log

	clock   atomic.Int64
	mu      sync.Mutex
	history []porcupine.Operation
	running sync.WaitGroup
}

func newFleet(t *testing.T, count, shards int, api *objectapi.API) *fleet {
	f := &fleet{store: objecttest.New(), api: api, network: &network{apps: map[string]http.Handler{apiAddress: api}}}
	var instances []membership.Instance
	for i := range count {
		name := fmt.Sprintf("d%d", i)
		instances = append(instances, membership.Instance{Name: name, Address: name, Role: membership.RoleDaemon, State: membership.StateLive})
	}
	for _, instance := range instances {
		table := membership.NewTable(membership.Daemon{Name: instance.Name, Address: instance.Address}, membership.Options{})
		table.ApplyList(membership.InstanceList{Revision: 1, Instances: instances})
		paused := &pausedStore{Store: f.store}
		if f.api != nil {
			paused.Store = objectclient.New(objectclient.Options{Address: apiAddress, HTTP: &http.Client{Transport: f.network}})
		}
		l := newTestLog(t, paused, func(o *Options) {
			o.Table, o.Shards, o.SegmentBytes = table, shards, 600
			o.Peers = &peer.Client{HTTP: &http.Client{Transport: f.network}}
		})
		app := iris.New()
		app.Logger().SetLevel("disable")
		l.RegisterHandlers(app.Party("/peer/v1"))
		assert.NilError(t, app.Build())
		f.network.apps[instance.Address] = app
		f.paused, f.logs = append(f.paused, paused), append(f.logs, l)
	}
	return f
}

func (f *fleet) record(in call, called int64, out callResult, returned int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = append(f.history, porcupine.Operation{Input: in, Call: called, Output: out, Return: returned})
}

// request begins a call on a Log and finishes it after some time when it is
// granted.
func (f *fleet) request(l *Log, name, nonce string, patience, takes time.Duration, ran Ran) callResult {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	called := f.clock.Add(1)
	grant, err := l.Begin(ctx, key(name), "digest", nonce)
	out := callResult{grant: grant, failed: err != nil}
	f.record(call{key: name, nonce: nonce}, called, out, f.clock.Add(1))
	if out.failed || !grant.Granted {
		return out
	}
	time.Sleep(takes)
	called = f.clock.Add(1)
	l.Finish(key(name), nonce, Outcome{Ran: ran, Body: []byte(nonce)})
	// The outcome is recorded at some time after Finish.
	f.record(call{key: name, nonce: nonce, finish: ran}, called, callResult{}, 1<<60)
	return out
}

func (f *fleet) fault(which, log int) {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	if f.api != nil && which <= 7 {
		f.api.Faults().Update(func(faults *objectapi.Faults) { apiFault(which, faults) })
		return
	}
	switch which {
	case 0:
		f.store.LoseAnswers(2)
	case 1:
		f.store.HoldWrites(2)
	case 2:
		f.store.ReleaseWrites()
	case 3:
		f.store.SetOutage(true)
	case 4:
		f.store.SetOutage(false)
	case 5:
		f.store.SetLatency(700 * time.Millisecond)
	case 6:
		f.store.SetLatency(0)
	case 7:
		f.store.SetStale(2)
	case 8:
		f.paused[log].pause()
	case 9:
		f.paused[log].wake()
	case 10:
		f.network.refuse = 2
	case 11:
		f.network.lose = 2
	}
}

// apiFault switches the fault of the stand-in that corresponds to one of the
// store's.
func apiFault(which int, faults *objectapi.Faults) {
	switch which {
	case 0:
		faults.LoseAnswers = 2
	case 1, 2:
		faults.LateWrites, faults.LateMs = 2, 3000
	case 3, 4:
		faults.Outage = which == 3
	case 5:
		faults.SlowMs = 700
	case 6:
		faults.SlowMs = 0
	case 7:
		faults.StaleBehind = 2
	}
}

func (f *fleet) heal() {
	if f.api != nil {
		f.api.Faults().Update(func(faults *objectapi.Faults) { *faults = objectapi.Faults{} })
	}
	f.store.SetOutage(false)
	f.store.SetLatency(0)
	f.store.SetStale(0)
	f.store.HoldWrites(0)
	f.store.LoseAnswers(0)
	f.store.ReleaseWrites()
	for _, p := range f.paused {
		p.wake()
	}
}

// step is one action of a random run.
type step struct {
	log, key, fault int
	ran             Ran
	patience, takes time.Duration
	before          time.Duration
}

func drawSteps(rt *rapid.T) []step {
	ms := func(name string, limit int) time.Duration {
		return time.Duration(rapid.IntRange(0, limit).Draw(rt, name)) * time.Millisecond
	}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			log: rapid.IntRange(0, 2).Draw(rt, "log"), key: rapid.IntRange(0, 3).Draw(rt, "key"),
			fault:    rapid.IntRange(-12, 11).Draw(rt, "fault"),
			ran:      rapid.SampledFrom([]Ran{RanDone, RanNotRun}).Draw(rt, "ran"),
			patience: 50*time.Millisecond + ms("patience", 8000), takes: ms("takes", 3000), before: ms("before", 1500),
		}
	}), 5, 40).Draw(rt, "steps")
}

// Guards against a call that runs twice, or an outcome that is not the one
// handed in, when several daemons write the same shards under faults of the
// object API and of the calls between them. It also guards against a key that
// stays blocked once the faults are over.
func TestHistoryIsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		overHTTP := rapid.Bool().Draw(rt, "over HTTP")
		// A failure inside of the bubble must not unwind through it.
		failure := ""
		synctest.Test(t, func(t *testing.T) {
			var api *objectapi.API
			if overHTTP {
				api = objectapi.New(objectapi.Config{})
			}
			f := newFleet(t, 3, 2, api)
			for i, s := range steps {
				time.Sleep(s.before)
				if s.fault >= 0 {
					f.fault(s.fault, s.log)
					continue
				}
				f.running.Go(func() {
					f.request(f.logs[s.log], fmt.Sprint("k", s.key), fmt.Sprint("n", i), s.patience, s.takes, s.ran)
				})
			}
			time.Sleep(5 * time.Second)
			f.heal()
			f.running.Wait()
			time.Sleep(time.Minute)
			for k := range 4 {
				out := f.request(f.logs[k%3], fmt.Sprint("k", k), fmt.Sprint("last", k), 20*time.Second, 0, RanDone)
				if out.failed || !out.grant.Granted && out.grant.Outcome.Ran != RanDone {
					failure = fmt.Sprintf("key %d is blocked after the faults: %+v", k, out)
				}
			}
			if !porcupine.CheckOperations(atMostOnce, f.history) {
				failure = "the history is not at most once"
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

package engine

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"rattantide/internal/engineclient"
	"rattantide/internal/standin/control"
)

// Engine simulates one model engine. It is an http.Handler and safe for
// concurrent use. Close stops it.
type Engine struct {
	config Config
	faults *control.Faults[Faults]
	log    control.Log
	mux    *http.ServeMux
	conns  connTracker

	wake      chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
	wg        sync.WaitGroup

	mu          sync.Mutex
	generations map[string]*generation
	waiting     []*generation
	batch       []*generation
	cache       *prefixCache
	lastArrival int64
	samples     []loadSample
	loadSeq     int64
	orders      engineclient.OrderState
	maxFence    int64
}

// New starts and returns an Engine. The caller must call Close to stop its
// scheduler.
func New(config Config) *Engine {
	e := &Engine{
		config:      config.withDefaults(),
		wake:        make(chan struct{}, 1),
		closed:      make(chan struct{}),
		generations: map[string]*generation{},
	}
	e.orders.Version, e.orders.Role = e.config.Version, e.config.Role
	e.faults = control.NewFaults(e.faultsChanged)
	e.cache = e.newCache()
	e.recordLoadLocked(time.Now())
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	e.mux.HandleFunc("DELETE /v1/requests/{id}", e.serveCancel)
	e.mux.HandleFunc("POST /v1/requests/{id}/export", e.serveExport)
	e.mux.HandleFunc("POST /v1/requests/import", e.serveImport)
	e.mux.HandleFunc("GET /v1/load", e.serveLoad)
	e.mux.HandleFunc("GET /v1/cache/events", e.serveCacheEvents)
	e.mux.HandleFunc("POST /v1/orders", e.serveOrder)
	e.mux.HandleFunc("GET /v1/orders", e.serveOrderState)
	e.mux.Handle("/control/faults", e.faults)
	e.mux.Handle("GET /control/log", &e.log)
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		e.schedule()
	}()
	return e
}

// ServeHTTP serves the engine's protocol and its control calls.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Control calls are not part of the simulated protocol: they get a response
	// on silent connections too.
	if !strings.HasPrefix(r.URL.Path, "/control/") && e.conns.track(r) {
		// The server detects that the client has disconnected only after the body
		// has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		e.hang(r)
	}
	e.mux.ServeHTTP(w, r)
}

// Close stops the engine, ends all its streams and waits for its goroutines.
// It may be called more than once.
func (e *Engine) Close() {
	e.closeOnce.Do(func() { close(e.closed) })
	e.wg.Wait()
}

// Faults returns the injected faults, which can be changed while the engine runs.
func (e *Engine) Faults() *control.Faults[Faults] { return e.faults }

// Log returns the log of received calls and generation events.
func (e *Engine) Log() *control.Log { return &e.log }

func (e *Engine) faultsChanged(before, after Faults) {
	if after.SilentConnections && !before.SilentConnections {
		e.conns.silenceAll()
	}
	if !after.SilentConnections && before.SilentConnections {
		e.conns.clearSilent()
	}
	e.mu.Lock()
	e.recordLoadLocked(time.Now())
	e.mu.Unlock()
	e.wakeScheduler()
}

// newCache returns an empty prefix cache whose events are subject to
// Faults.CacheEventGapShare.
func (e *Engine) newCache() *prefixCache {
	return newPrefixCache(func(seq int64) bool {
		return isSelected(e.faults.Get().CacheEventGapShare, "cache", strconv.FormatInt(seq, 10))
	})
}

// wakeScheduler makes an idle scheduler plan the next step. It does not block.
func (e *Engine) wakeScheduler() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	lag := e.config.CacheEventLag + time.Duration(e.faults.Get().CacheEventLagMs)*time.Millisecond
	e.mu.Lock()
	events := e.cache.eventsSince(since, time.Now().Add(-lag))
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, events)
}

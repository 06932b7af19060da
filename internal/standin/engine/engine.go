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

// Engine is the stand-in of one model engine. It is an http.Handler and safe
// for concurrent use. Close ends it.
type Engine struct {
	config Config
	faults *control.Faults[Faults]
	log    control.Log
	mux    *http.ServeMux
	silent silence

	wake   chan struct{}
	closed chan struct{}
	once   sync.Once
	done   sync.WaitGroup

	mu          sync.Mutex
	generations map[string]*generation
	waiting     []*generation
	batch       []*generation
	cache       *prefixCache
	arrivals    int64
	samples     []loadSample
	loadSeq     int64
	orders      engineclient.OrderState
	highFence   int64
}

// New returns a running Engine.
func New(config Config) *Engine {
	e := &Engine{
		config:      config.withDefaults(),
		wake:        make(chan struct{}, 1),
		closed:      make(chan struct{}),
		generations: map[string]*generation{},
	}
	e.orders.Version, e.orders.Role = e.config.Version, e.config.Role
	e.faults = control.NewFaults(e.faultsChanged)
	e.cache = e.emptyCache()
	e.sampleLocked(time.Now())
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
	e.done.Add(1)
	go func() {
		defer e.done.Done()
		e.schedule()
	}()
	return e
}

// ServeHTTP serves the engine's protocol and its control calls.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// Control calls are not part of the protocol and always answered.
	if !strings.HasPrefix(r.URL.Path, "/control/") && e.silent.check(r) {
		// The server notices that the caller leaves only once the body is read.
		_, _ = io.Copy(io.Discard, r.Body)
		e.hang(r)
	}
	e.mux.ServeHTTP(w, r)
}

// Close ends the engine and all its streams.
func (e *Engine) Close() {
	e.once.Do(func() { close(e.closed) })
	e.done.Wait()
}

// Faults returns the switchable faults.
func (e *Engine) Faults() *control.Faults[Faults] { return e.faults }

// Log returns the log of what was executed.
func (e *Engine) Log() *control.Log { return &e.log }

func (e *Engine) faultsChanged(before, after Faults) {
	if after.SilentConnections && !before.SilentConnections {
		e.silent.begin()
	}
	if !after.SilentConnections && before.SilentConnections {
		e.silent.end()
	}
	e.mu.Lock()
	e.sampleLocked(time.Now())
	e.mu.Unlock()
	e.signal()
}

func (e *Engine) emptyCache() *prefixCache {
	return newPrefixCache(func(seq int64) bool {
		return hits(e.faults.Get().CacheEventGapShare, "cache", strconv.FormatInt(seq, 10))
	})
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	lag := e.config.CacheEventLag + time.Duration(e.faults.Get().CacheEventLagMs)*time.Millisecond
	e.mu.Lock()
	events := e.cache.since(since, time.Now().Add(-lag))
	e.mu.Unlock()
	control.JSON(w, http.StatusOK, events)
}

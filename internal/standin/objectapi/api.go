package objectapi

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"rattantide/internal/objectclient"
	"rattantide/internal/standin/control"
)

// maxValue is the largest value of an object.
const maxValue = 1 << 20

// API is the stand-in of the object API. It is an http.Handler and safe for
// concurrent use.
type API struct {
	config Config
	faults *control.Faults[Faults]
	store  *store
	stats  counters
	mux    *http.ServeMux
	writes *rate.Limiter
	reads  *rate.Limiter

	mu sync.Mutex
	// cut is closed when an outage begins, so that watches end.
	cut chan struct{}
}

// New returns an API without objects.
func New(config Config) *API {
	a := &API{config: config, store: newStore(), cut: make(chan struct{})}
	a.writes, a.reads = limiter(config.WritesPerSecond), limiter(config.ReadsPerSecond)
	a.faults = control.NewFaults(a.faultsChanged)
	a.mux = http.NewServeMux()
	a.mux.HandleFunc("GET /v1/objects/{kind}", a.serveList)
	a.mux.HandleFunc("GET /v1/objects/{kind}/{name...}", a.serveGet)
	a.mux.HandleFunc("PUT /v1/objects/{kind}/{name...}", a.servePut)
	a.mux.HandleFunc("DELETE /v1/objects/{kind}/{name...}", a.serveDelete)
	a.mux.HandleFunc("GET /v1/watch", a.serveWatch)
	a.mux.Handle("/control/faults", a.faults)
	a.mux.HandleFunc("GET /control/stats", func(w http.ResponseWriter, _ *http.Request) {
		control.JSON(w, http.StatusOK, a.stats.copy())
	})
	a.mux.HandleFunc("POST /control/compact", a.serveCompact)
	return a
}

// Faults returns the switchable faults.
func (a *API) Faults() *control.Faults[Faults] { return a.faults }

// Stats returns the call counts.
func (a *API) Stats() Stats { return a.stats.copy() }

// Compact forgets the events up to a revision; 0 means all.
func (a *API) Compact(revision int64) int64 { return a.store.compact(revision) }

// ServeHTTP serves the object API and its control calls.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Store-Time-Ms", strconv.FormatInt(time.Now().UnixMilli(), 10))
	if !strings.HasPrefix(r.URL.Path, "/control/") && !a.allowed(w, r) {
		return
	}
	a.mux.ServeHTTP(w, r)
}

// allowed applies delays, outages and rate limits to a call.
func (a *API) allowed(w http.ResponseWriter, r *http.Request) bool {
	faults := a.faults.Get()
	if !control.Wait(r.Context(), time.Duration(faults.SlowMs)*time.Millisecond) {
		return false
	}
	w.Header().Set("X-Store-Time-Ms", strconv.FormatInt(time.Now().UnixMilli(), 10))
	write := r.Method == http.MethodPut || r.Method == http.MethodDelete
	kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	if r.URL.Path == "/v1/watch" {
		kind = "watch"
	}
	limit := a.reads
	if write {
		limit = a.writes
	}
	// The outage is read again: a slow call may have begun before it.
	down, limited := a.faults.Get().Outage, !limit.Allow()
	a.stats.add(func(s *Stats) {
		if write {
			s.Writes++
			s.WritesByKind[kind]++
		} else {
			s.Reads++
			s.ReadsByKind[kind]++
		}
		if down {
			s.Unavailable++
		} else if limited {
			s.Limited++
		}
	})
	if down {
		control.Error(w, http.StatusServiceUnavailable, "unavailable", "the object API is down")
		return false
	}
	if limited {
		w.Header().Set("Retry-After", "1")
		control.Error(w, http.StatusTooManyRequests, "rate_limited", "too many calls per second")
		return false
	}
	return true
}

func (a *API) serveList(w http.ResponseWriter, r *http.Request) {
	control.JSON(w, http.StatusOK, a.store.list(r.PathValue("kind"), a.faults.Get().StaleBehind))
}

func (a *API) serveGet(w http.ResponseWriter, r *http.Request) {
	object := a.store.get(keyOf(r), a.faults.Get().StaleBehind)
	if object == nil {
		control.Error(w, http.StatusNotFound, "not_found", "no such object")
		return
	}
	answer(w, http.StatusOK, object)
}

func (a *API) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil {
		control.Error(w, http.StatusRequestEntityTooLarge, "too_large", "a value has at most 1 MB")
		return
	}
	if !json.Valid(value) {
		control.Error(w, http.StatusBadRequest, "bad_request", "the value is not JSON")
		return
	}
	a.write(w, r, value)
}

func (a *API) serveDelete(w http.ResponseWriter, r *http.Request) {
	a.write(w, r, nil)
}

func (a *API) write(w http.ResponseWriter, r *http.Request, value json.RawMessage) {
	expected, ok := precondition(r)
	if !ok {
		control.Error(w, http.StatusBadRequest, "bad_request", "malformed precondition")
		return
	}
	key := keyOf(r)
	var lose, late bool
	a.faults.Take(func(f *Faults) bool { lose, late = f.take(key.kind); return lose })
	if late {
		delay := time.Duration(a.faults.Get().LateMs) * time.Millisecond
		time.AfterFunc(delay, func() { a.store.write(key, expected, value) })
		control.Abort()
	}
	object, done := a.store.write(key, expected, value)
	if !done {
		a.stats.add(func(s *Stats) { s.Conflicts++ })
	}
	if lose {
		control.Abort()
	}
	switch {
	case done && value != nil && expected == objectclient.MustNotExist:
		answer(w, http.StatusCreated, object)
	case done:
		answer(w, http.StatusOK, object)
	case value == nil && object == nil:
		control.Error(w, http.StatusNotFound, "not_found", "no such object")
	case object == nil:
		control.JSON(w, http.StatusPreconditionFailed, objectclient.Object{Kind: key.kind, Name: key.name})
	default:
		answer(w, http.StatusPreconditionFailed, object)
	}
}

func (a *API) serveCompact(w http.ResponseWriter, r *http.Request) {
	revision, _ := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	control.JSON(w, http.StatusOK, map[string]any{"compacted": a.store.compact(revision)})
}

func (a *API) faultsChanged(before, after Faults) {
	a.writes.SetLimit(limitOf(after.WritesPerSecond, a.config.WritesPerSecond))
	a.writes.SetBurst(burstOf(after.WritesPerSecond, a.config.WritesPerSecond))
	a.reads.SetLimit(limitOf(after.ReadsPerSecond, a.config.ReadsPerSecond))
	a.reads.SetBurst(burstOf(after.ReadsPerSecond, a.config.ReadsPerSecond))
	if after.Outage && !before.Outage {
		a.mu.Lock()
		close(a.cut)
		a.cut = make(chan struct{})
		a.mu.Unlock()
	}
}

func answer(w http.ResponseWriter, status int, object *objectclient.Object) {
	w.Header().Set("ETag", `"`+strconv.FormatInt(object.Version, 10)+`"`)
	control.JSON(w, status, object)
}

func keyOf(r *http.Request) objectKey {
	return objectKey{kind: r.PathValue("kind"), name: r.PathValue("name")}
}

// precondition returns the version that the object must have.
func precondition(r *http.Request) (int64, bool) {
	match, none := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	switch {
	case none == "*" && match == "":
		return objectclient.MustNotExist, true
	case none != "":
		return 0, false
	case match == "":
		return anyVersion, true
	}
	version, err := strconv.ParseInt(strings.Trim(match, `"`), 10, 64)
	return version, err == nil && version > 0
}

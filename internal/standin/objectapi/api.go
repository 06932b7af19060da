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

// maxValueBytes is the maximum size of an object's value.
const maxValueBytes = 1 << 20

// API simulates the object API. It is an http.Handler and safe for concurrent use.
type API struct {
	config Config
	faults *control.Faults[Faults]
	store  *store
	stats  counters
	mux    *http.ServeMux
	writes *rate.Limiter
	reads  *rate.Limiter

	mu sync.Mutex
	// outageStarted is closed when an outage begins, which ends the watches, and
	// is then replaced.
	outageStarted chan struct{}
	// saved is the backup that POST /control/restore restores.
	saved *Backup
}

// New returns an API that stores no objects.
func New(config Config) *API {
	a := &API{config: config, store: newStore(), outageStarted: make(chan struct{})}
	a.writes, a.reads = newLimiter(config.WritesPerSecond), newLimiter(config.ReadsPerSecond)
	a.faults = control.NewFaults(a.faultsChanged)
	a.mux = http.NewServeMux()
	a.mux.HandleFunc("GET /v1/objects/{kind}", a.serveList)
	a.mux.HandleFunc("GET /v1/objects/{kind}/{name...}", a.serveGet)
	a.mux.HandleFunc("PUT /v1/objects/{kind}/{name...}", a.servePut)
	a.mux.HandleFunc("DELETE /v1/objects/{kind}/{name...}", a.serveDelete)
	a.mux.HandleFunc("GET /v1/watch", a.serveWatch)
	a.mux.Handle("/control/faults", a.faults)
	a.mux.HandleFunc("GET /control/stats", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, a.stats.snapshot())
	})
	a.mux.HandleFunc("POST /control/compact", a.serveCompact)
	a.mux.HandleFunc("POST /control/backup", a.serveBackup)
	a.mux.HandleFunc("POST /control/restore", a.serveRestore)
	return a
}

// Faults returns the injected faults, which can be changed at any time.
func (a *API) Faults() *control.Faults[Faults] { return a.faults }

// Stats returns a copy of the call counts.
func (a *API) Stats() Stats { return a.stats.snapshot() }

// Compact drops the events up to and including a revision, or all events if the
// revision is 0, and returns the revision up to which events have been dropped.
func (a *API) Compact(revision int64) int64 { return a.store.compact(revision) }

// ServeHTTP serves the object API and its control calls.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Store-Time-Ms", strconv.FormatInt(time.Now().UnixMilli(), 10))
	w.Header().Set(objectclient.EraHeader, strconv.FormatInt(a.store.currentEra(), 10))
	if !strings.HasPrefix(r.URL.Path, "/control/") && !a.admit(w, r) {
		return
	}
	a.mux.ServeHTTP(w, r)
}

// admit applies delays, outages and rate limits to a call. If the call may not
// proceed, admit writes the response, unless the client has disconnected, and
// returns false.
func (a *API) admit(w http.ResponseWriter, r *http.Request) bool {
	faults := a.faults.Get()
	if !control.Sleep(r.Context(), time.Duration(faults.SlowMs)*time.Millisecond) {
		return false
	}
	w.Header().Set("X-Store-Time-Ms", strconv.FormatInt(time.Now().UnixMilli(), 10))
	isWrite := r.Method == http.MethodPut || r.Method == http.MethodDelete
	kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	if r.URL.Path == "/v1/watch" {
		kind = "watch"
	}
	limit := a.reads
	if isWrite {
		limit = a.writes
	}
	// The outage is read again because it may have begun during the delay.
	isDown, isLimited := a.faults.Get().Outage, !limit.Allow()
	a.stats.update(func(s *Stats) {
		if isWrite {
			s.Writes++
			s.WritesByKind[kind]++
		} else {
			s.Reads++
			s.ReadsByKind[kind]++
		}
		if isDown {
			s.Unavailable++
		} else if isLimited {
			s.Limited++
		}
	})
	if isDown {
		control.WriteError(w, http.StatusServiceUnavailable, "unavailable", "the object API is down")
		return false
	}
	if isLimited {
		w.Header().Set("Retry-After", "1")
		control.WriteError(w, http.StatusTooManyRequests, "rate_limited", "too many calls per second")
		return false
	}
	return true
}

func (a *API) serveList(w http.ResponseWriter, r *http.Request) {
	control.WriteJSON(w, http.StatusOK, a.store.list(r.PathValue("kind"), a.faults.Get().StaleBehind))
}

func (a *API) serveGet(w http.ResponseWriter, r *http.Request) {
	object := a.store.get(requestKey(r), a.faults.Get().StaleBehind)
	if object == nil {
		control.WriteError(w, http.StatusNotFound, "not_found", "no such object")
		return
	}
	writeObject(w, http.StatusOK, object)
}

func (a *API) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		control.WriteError(w, http.StatusRequestEntityTooLarge, "too_large", "a value has at most 1 MB")
		return
	}
	if !json.Valid(value) {
		control.WriteError(w, http.StatusBadRequest, "bad_request", "the value is not JSON")
		return
	}
	a.write(w, r, value)
}

func (a *API) serveDelete(w http.ResponseWriter, r *http.Request) {
	a.write(w, r, nil)
}

func (a *API) write(w http.ResponseWriter, r *http.Request, value json.RawMessage) {
	expected, ok := parsePrecondition(r)
	if !ok {
		control.WriteError(w, http.StatusBadRequest, "bad_request", "malformed precondition")
		return
	}
	key := requestKey(r)
	var loseAnswer, isLate bool
	a.faults.Take(func(f *Faults) bool { loseAnswer, isLate = f.takeWriteFault(key.kind); return loseAnswer })
	if isLate {
		delay := time.Duration(a.faults.Get().LateMs) * time.Millisecond
		time.AfterFunc(delay, func() { a.store.write(key, expected, value) })
		control.AbortConnection()
	}
	object, isWritten := a.store.write(key, expected, value)
	if !isWritten {
		a.stats.update(func(s *Stats) { s.Conflicts++ })
	}
	if loseAnswer {
		control.AbortConnection()
	}
	switch {
	case isWritten && value != nil && expected == int64(objectclient.MustNotExist):
		writeObject(w, http.StatusCreated, object)
	case isWritten:
		writeObject(w, http.StatusOK, object)
	case value == nil && object == nil:
		control.WriteError(w, http.StatusNotFound, "not_found", "no such object")
	case object == nil:
		control.WriteJSON(w, http.StatusPreconditionFailed, objectclient.Object{Kind: key.kind, Name: key.name})
	default:
		writeObject(w, http.StatusPreconditionFailed, object)
	}
}

func (a *API) serveCompact(w http.ResponseWriter, r *http.Request) {
	revision, _ := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	control.WriteJSON(w, http.StatusOK, map[string]any{"compacted": a.store.compact(revision)})
}

func (a *API) faultsChanged(before, after Faults) {
	a.writes.SetLimit(effectiveLimit(after.WritesPerSecond, a.config.WritesPerSecond))
	a.writes.SetBurst(effectiveBurst(after.WritesPerSecond, a.config.WritesPerSecond))
	a.reads.SetLimit(effectiveLimit(after.ReadsPerSecond, a.config.ReadsPerSecond))
	a.reads.SetBurst(effectiveBurst(after.ReadsPerSecond, a.config.ReadsPerSecond))
	if after.Outage && !before.Outage {
		a.mu.Lock()
		close(a.outageStarted)
		a.outageStarted = make(chan struct{})
		a.mu.Unlock()
	}
}

// writeObject responds with an object and its version as the ETag.
func writeObject(w http.ResponseWriter, status int, object *objectclient.Object) {
	w.Header().Set("ETag", `"`+strconv.FormatInt(int64(object.Version), 10)+`"`)
	control.WriteJSON(w, status, object)
}

func requestKey(r *http.Request) objectKey {
	return objectKey{kind: r.PathValue("kind"), name: r.PathValue("name")}
}

// parsePrecondition returns the version that the object must have according to the
// headers If-Match and If-None-Match, and false when they are malformed.
func parsePrecondition(r *http.Request) (int64, bool) {
	match, none := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	switch {
	case none == "*" && match == "":
		return int64(objectclient.MustNotExist), true
	case none != "":
		return 0, false
	case match == "":
		return anyVersion, true
	}
	version, err := strconv.ParseInt(strings.Trim(match, `"`), 10, 64)
	return version, err == nil && version > 0
}

package engine

import (
	"net/http"
	"time"

	"rattantide/internal/standin/control"
)

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	q, err := parseRequest(w, r)
	if err != nil {
		control.WriteError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	g := e.attach(w, q)
	if g == nil {
		return
	}
	w.Header().Set("X-Request-Id", q.id)
	defer e.detach(g)
	if q.Stream {
		e.serveStream(w, r, g, q)
		return
	}
	e.serveBuffered(w, r, g)
}

// attach finds or creates the generation of a request and counts the connection
// in it. A request that is no resumption and has the identifier of an older one but
// another body replaces the older generation, which is canceled unless it has ended.
// When the request is refused, attach writes the error response to w and returns nil.
func (e *Engine) attach(w http.ResponseWriter, q *request) *generation {
	faults := e.faults.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	existing := e.generations[q.id]
	// The same body under the same identifier is a retry by a caller that does
	// not know whether its first attempt arrived.
	if existing != nil && (q.isResume || existing.bodyHash == q.bodyHash) {
		existing.connections++
		if existing.end == endExported {
			existing.end = endNone
			e.enqueue(existing)
		}
		e.log.Add(control.Entry{Event: "resume", RequestID: q.id, Attempt: q.attempt, Model: existing.model, Version: existing.version, Tokens: int(q.afterEvent)})
		return existing
	}
	refuse := func(status int, code, message string) *generation {
		e.log.Add(control.Entry{Event: "refuse", RequestID: q.id, Attempt: q.attempt, Model: q.Model, Detail: code})
		control.WriteError(w, status, code, message)
		return nil
	}
	if q.isResume {
		return refuse(http.StatusNotFound, "unknown_request", "no generation under this identifier")
	}
	if faults.Draining {
		w.Header().Set("X-Draining", "true")
		return refuse(http.StatusServiceUnavailable, "draining", "this engine takes no new work")
	}
	if len(e.waiting) >= e.config.MaxWaiting {
		return refuse(http.StatusTooManyRequests, "queue_full", "too many requests are waiting")
	}
	g := newGeneration(q, e.orders.Version)
	if g.maxKVTokens() > e.config.KVTokens {
		return refuse(http.StatusBadRequest, "context_length_exceeded", "the prompt and answer do not fit into memory")
	}
	if faults.applies(q.Model, g.version, len(e.batch)+len(e.waiting)+1) && isSelected(faults.ErrorShare, q.id, q.attempt) {
		e.log.Add(control.Entry{Event: "error", RequestID: q.id, Attempt: q.attempt, Model: q.Model, Version: g.version})
		control.WriteError(w, http.StatusInternalServerError, "internal", "the engine failed")
		return nil
	}
	if existing != nil {
		delete(e.generations, existing.id)
		if existing.end == endNone {
			e.remove(existing)
			e.finish(existing, endCanceled, time.Now())
		}
	}
	g.connections = 1
	e.generations[g.id] = g
	e.enqueue(g)
	e.log.Add(control.Entry{
		Event: "start", RequestID: g.id, Attempt: q.attempt, Model: g.model, Version: g.version, Priority: g.priority,
		PromptTokens: g.promptTokens, PrefixTokens: g.prefixTokens,
	})
	return g
}

// enqueue appends a generation to the queue and wakes the scheduler. The caller
// holds e.mu.
func (e *Engine) enqueue(g *generation) {
	e.lastArrival++
	g.arrivalSeq = e.lastArrival
	e.waiting = append(e.waiting, g)
	e.recordLoadLocked(time.Now())
	e.wakeScheduler()
}

// detach removes a connection from a generation and schedules the generation's
// expiry when it was the last one.
func (e *Engine) detach(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.connections--; g.connections == 0 {
		e.scheduleExpiry(g, time.Now())
	}
}

// serveBuffered waits until the generation ends and writes the complete answer as
// one JSON response.
func (e *Engine) serveBuffered(w http.ResponseWriter, r *http.Request, g *generation) {
	changed, unwatch := e.watch(g)
	defer unwatch()
	for {
		_, end := e.progress(g)
		if end == endFinished {
			if e.conns.isSilent(r) {
				e.hang(r)
			}
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(g.appendCompletion(nil))
			return
		}
		if end != endNone {
			control.AbortConnection()
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-e.closed:
			control.AbortConnection()
		}
	}
}

// watch returns a channel that receives after each change of g, and a function
// that ends the watch.
func (e *Engine) watch(g *generation) (<-chan struct{}, func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := g.watch()
	return changed, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		g.unwatch(changed)
	}
}

// progress returns the number of tokens that g has produced and the reason for
// its end, or endNone while it runs.
func (e *Engine) progress(g *generation) (int, endReason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return g.produced, g.end
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.generations[r.PathValue("id")]
	if g == nil {
		control.WriteError(w, http.StatusNotFound, "unknown_request", "no generation under this identifier")
		return
	}
	delete(e.generations, g.id)
	if g.end == endNone || g.end == endExported {
		e.remove(g)
		e.finish(g, endCanceled, time.Now())
		e.recordLoadLocked(time.Now())
		e.wakeScheduler()
	}
	control.WriteJSON(w, http.StatusOK, map[string]any{"id": g.id, "tokens": g.produced, "ended": g.end})
}

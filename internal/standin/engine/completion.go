package engine

import (
	"net/http"
	"time"

	"rattantide/internal/standin/control"
)

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	q, err := parseRequest(w, r)
	if err != nil {
		control.Error(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	g := e.attach(w, q)
	if g == nil {
		return
	}
	w.Header().Set("X-Request-Id", q.id)
	defer e.detach(g)
	if q.Stream {
		e.stream(w, r, g, q)
		return
	}
	e.wait(w, r, g)
}

// attach finds or creates the generation of a request. It answers w and
// returns nil when there is none.
func (e *Engine) attach(w http.ResponseWriter, q *request) *generation {
	faults := e.faults.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.generations[q.id]
	// The same body under the same identifier is the same call, sent again by a
	// caller that does not know whether it arrived.
	if held != nil && (q.resume || held.bodyHash == q.bodyHash) {
		held.attached++
		if held.end == endExported {
			held.end = endNone
			e.enqueue(held)
		}
		e.log.Add(control.Entry{Event: "resume", RequestID: q.id, Attempt: q.attempt, Model: held.model, Version: held.version, Tokens: int(q.after)})
		return held
	}
	refuse := func(status int, code, message string) *generation {
		e.log.Add(control.Entry{Event: "refuse", RequestID: q.id, Attempt: q.attempt, Model: q.Model, Detail: code})
		control.Error(w, status, code, message)
		return nil
	}
	if q.resume {
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
	if g.kvReserve() > e.config.KVTokens {
		return refuse(http.StatusBadRequest, "context_length_exceeded", "the prompt and answer do not fit into memory")
	}
	if faults.applies(q.Model, g.version, len(e.batch)+len(e.waiting)+1) && hits(faults.ErrorShare, q.id, q.attempt) {
		e.log.Add(control.Entry{Event: "error", RequestID: q.id, Attempt: q.attempt, Model: q.Model, Version: g.version})
		control.Error(w, http.StatusInternalServerError, "internal", "the engine failed")
		return nil
	}
	if held != nil {
		delete(e.generations, held.id)
		if held.end == endNone {
			e.remove(held)
			e.finish(held, endCanceled, time.Now())
		}
	}
	g.attached = 1
	e.generations[g.id] = g
	e.enqueue(g)
	e.log.Add(control.Entry{
		Event: "start", RequestID: g.id, Attempt: q.attempt, Model: g.model, Version: g.version, Priority: g.priority,
		PromptTokens: g.promptTokens, PrefixTokens: g.prefixTokens,
	})
	return g
}

// enqueue lets a generation wait for a slot.
func (e *Engine) enqueue(g *generation) {
	e.arrivals++
	g.arrival = e.arrivals
	e.waiting = append(e.waiting, g)
	e.sampleLocked(time.Now())
	e.signal()
}

func (e *Engine) detach(g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.attached--; g.attached == 0 {
		e.expireLater(g, time.Now())
	}
}

// wait answers with the whole text.
func (e *Engine) wait(w http.ResponseWriter, r *http.Request, g *generation) {
	changed, leave := e.watch(g)
	defer leave()
	for {
		_, end := e.progress(g)
		if end == endFinished {
			if e.silent.is(r) {
				e.hang(r)
			}
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(g.whole(nil))
			return
		}
		if end != endNone {
			control.Abort()
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-e.closed:
			control.Abort()
		}
	}
}

// watch returns a channel that receives after each change of g.
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

// progress returns how many tokens g has and how it ended.
func (e *Engine) progress(g *generation) (int, ending) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return g.produced, g.end
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.generations[r.PathValue("id")]
	if g == nil {
		control.Error(w, http.StatusNotFound, "unknown_request", "no generation under this identifier")
		return
	}
	delete(e.generations, g.id)
	if g.end == endNone || g.end == endExported {
		e.remove(g)
		e.finish(g, endCanceled, time.Now())
		e.sampleLocked(time.Now())
		e.signal()
	}
	control.JSON(w, http.StatusOK, map[string]any{"id": g.id, "tokens": g.produced, "ended": g.end})
}

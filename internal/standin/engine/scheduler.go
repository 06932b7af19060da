package engine

import (
	"sort"
	"time"

	"rattantide/internal/standin/control"
)

const (
	// prefillChunk is the maximum number of prompt tokens that one step computes,
	// so that a long prompt does not block the running generations.
	prefillChunk = 512
	// maxCatchUp is the maximum delay that the scheduler makes up for by running
	// steps without a pause.
	maxCatchUp = 100 * time.Millisecond
)

// schedule runs the steps of the batch until the engine is closed.
func (e *Engine) schedule() {
	next := time.Now()
	for {
		step, isBusy := e.plan(time.Now())
		if !isBusy {
			select {
			case <-e.closed:
				return
			case <-e.wake:
			}
			next = time.Now()
			continue
		}
		next = next.Add(step)
		now := time.Now()
		if now.Sub(next) > maxCatchUp {
			next = now
		}
		if wait := next.Sub(now); wait > 0 {
			select {
			case <-e.closed:
				return
			case <-time.After(wait):
			}
		} else {
			select {
			case <-e.closed:
				return
			default:
			}
		}
		e.step(time.Now())
	}
}

// plan admits waiting generations and returns the duration of the next step, or
// false when the batch is empty.
func (e *Engine) plan(now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit(now)
	if len(e.batch) == 0 {
		return 0, false
	}
	decoding, prefill := 0, 0.0
	for _, g := range e.batch {
		if g.prefillRemaining > 0 {
			prefill += g.prefillRemaining
		} else {
			decoding++
		}
	}
	step := time.Duration(min(prefill, prefillChunk) * float64(e.config.PrefillPerToken))
	if decoding > 0 {
		step += time.Duration(float64(e.config.TokenTime) * (1 + e.config.TokenGrowth*float64(decoding-1)))
	}
	return step, true
}

// admit moves waiting generations into the batch, by priority and arrival, while
// slots and memory are available. The caller holds e.mu.
func (e *Engine) admit(now time.Time) {
	if len(e.waiting) == 0 {
		return
	}
	sort.SliceStable(e.waiting, func(i, j int) bool {
		a, b := e.waiting[i], e.waiting[j]
		if a.priority != b.priority {
			return a.priority > b.priority
		}
		return a.arrivalSeq < b.arrivalSeq
	})
	reserved := 0
	for _, g := range e.batch {
		reserved += g.maxKVTokens()
	}
	for len(e.waiting) > 0 && len(e.batch) < e.config.Slots {
		g := e.waiting[0]
		if reserved+g.maxKVTokens() > e.config.KVTokens {
			break
		}
		reserved += g.maxKVTokens()
		e.waiting = e.waiting[1:]
		g.isRunning = true
		if !g.isPrefilled {
			// A block has 16 tokens (engineclient.BlockTokens). The last token of a
			// prompt is always computed, even when all its blocks are cached.
			g.cachedTokens = min(e.cache.match(g.blocks)*16, g.promptTokens-1)
			g.prefillRemaining = float64(g.promptTokens - g.cachedTokens)
		}
		e.batch = append(e.batch, g)
		e.cache.evictTo(e.config.KVTokens-reserved, now)
	}
	e.recordLoadLocked(now)
}

// step computes prompt tokens and produces one token for each generation whose
// prompt has been computed. It crashes the engine when a fault requires that.
func (e *Engine) step(now time.Time) {
	faults := e.faults.Get()
	e.mu.Lock()
	budget := float64(prefillChunk)
	load := len(e.batch) + len(e.waiting)
	remaining := e.batch[:0]
	produced := 0
	shouldCrash := false
	for _, g := range e.batch {
		slowdown := 1.0
		if faults.SlowFactor > 1 && faults.applies(g.model, g.version, load) {
			slowdown = faults.SlowFactor
		}
		if g.prefillRemaining > 0 {
			e.prefill(g, &budget, slowdown, now)
		} else if g.produced < g.total {
			g.decodeCredit += 1 / slowdown
		}
		if g.decodeCredit >= 1 {
			g.decodeCredit--
			g.produced++
			produced++
			shouldCrash = shouldCrash || (g.id == faults.CrashRequest && g.produced >= faults.CrashToken)
			g.notify()
		}
		if g.prefillRemaining <= 0 && g.produced >= g.total {
			g.isRunning = false
			e.finish(g, endFinished, now)
			continue
		}
		remaining = append(remaining, g)
	}
	clear(e.batch[len(remaining):])
	e.batch = remaining
	e.recordLoadLocked(now)
	e.mu.Unlock()
	if faults.CrashAfterTokens > 0 && produced > 0 {
		shouldCrash = e.faults.Take(func(f *Faults) bool {
			if f.CrashAfterTokens <= 0 {
				return false
			}
			f.CrashAfterTokens = max(f.CrashAfterTokens-produced, 0)
			return f.CrashAfterTokens == 0
		}) || shouldCrash
	}
	if shouldCrash {
		e.Crash()
	}
}

// prefill computes prompt tokens of g within the budget of the step and reduces
// the budget. The step that completes the prompt also produces the first token. The
// caller holds e.mu.
func (e *Engine) prefill(g *generation, budget *float64, slowdown float64, now time.Time) {
	tokens := min(*budget/slowdown, g.prefillRemaining)
	*budget -= tokens * slowdown
	g.prefillRemaining -= tokens
	if g.prefillRemaining > 0 {
		return
	}
	g.isPrefilled = true
	if g.produced < g.total {
		g.decodeCredit = 1
	}
	used := 0
	for _, running := range e.batch {
		used += running.kvTokens()
	}
	e.cache.store(g.blocks, e.config.KVTokens-used, now)
}

// finish ends a generation, which the caller has removed from the batch. The
// caller holds e.mu.
func (e *Engine) finish(g *generation, reason endReason, now time.Time) {
	g.end = reason
	e.log.Add(control.Entry{
		Event: string(reason), RequestID: g.id, Model: g.model, Version: g.version, PromptTokens: g.promptTokens,
		CachedTokens: g.cachedTokens, PrefixTokens: g.prefixTokens, Tokens: g.produced,
	})
	g.notify()
	if g.connections == 0 {
		e.scheduleExpiry(g, now)
	}
}

// remove removes a generation from the batch and the queue. The caller holds e.mu.
func (e *Engine) remove(g *generation) {
	for _, list := range []*[]*generation{&e.batch, &e.waiting} {
		for i, candidate := range *list {
			if candidate == g {
				*list = append((*list)[:i:i], (*list)[i+1:]...)
				break
			}
		}
	}
	g.isRunning = false
}

// scheduleExpiry removes a generation after Config.GracePeriod, unless a connection is
// attached to it by then. The caller holds e.mu.
func (e *Engine) scheduleExpiry(g *generation, now time.Time) {
	g.expiresAt = now.Add(e.config.GracePeriod)
	time.AfterFunc(e.config.GracePeriod, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if g.connections > 0 || time.Now().Before(g.expiresAt) || e.generations[g.id] != g {
			return
		}
		delete(e.generations, g.id)
		if g.end == endNone {
			e.remove(g)
			e.finish(g, endExpired, time.Now())
			e.wakeScheduler()
		}
	})
}

// Crash simulates the end of the process: it closes the connections that wait for
// a generation and clears all generations and the prefix cache. It then calls
// Config.OnCrash.
func (e *Engine) Crash() {
	e.mu.Lock()
	now := time.Now()
	for _, g := range e.generations {
		if g.end == endNone || g.connections > 0 {
			g.end = endCrashed
			g.notify()
		}
	}
	e.generations = map[string]*generation{}
	e.batch, e.waiting = nil, nil
	e.cache = e.newCache()
	e.recordLoadLocked(now)
	e.mu.Unlock()
	e.log.Add(control.Entry{Event: string(endCrashed)})
	if e.config.OnCrash != nil {
		e.config.OnCrash()
	}
}

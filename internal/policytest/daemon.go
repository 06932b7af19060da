package policytest

import (
	"math/rand/v2"
	"time"

	"rattantide/internal/admission"
	"rattantide/internal/membership"
	"rattantide/internal/routing"
)

const (
	poolName = "p"
	// eventLag is the delay of cache events, and eventLossShare the fraction of
	// deliveries from which events are missing.
	eventLag       = time.Second
	eventLossShare = 0.05
)

// daemon simulates an entry daemon. It uses the real routing tracker and admission
// controller with delayed information about the engines.
type daemon struct {
	sim        *simulation
	random     *rand.Rand
	tracker    *routing.Tracker
	prompts    routing.PromptMix
	admission  *admission.Controller
	upstreams  []membership.Upstream
	candidates []routing.Candidate
}

// admit submits a request that has arrived to the admission controller and dispatches
// it when it is admitted.
func (d *daemon) admit(r *request) {
	ar := admission.Request{
		Workspace: r.workspace, Class: r.class.name, Pool: poolName, Priority: r.class.priority,
		Cost: float64(r.promptTokens + r.answerTokens), Deadline: d.sim.wallTime(r.arrivedAt + r.class.deadline),
		FirstTarget: r.class.firstTokenTarget, GapTarget: r.class.gapTarget, Within: 0.95,
	}
	var release func(admission.Outcome)
	// The controller calls back with its lock held, so the request is started by a
	// scheduled event.
	release = d.admission.Submit(ar, func(granted bool) {
		d.sim.events.scheduleAfter(0, func() {
			if !granted {
				r.isRefused = true
				return
			}
			r.startedAt = d.sim.events.now
			d.dispatch(r, ar, release)
		})
	})
}

// dispatch routes an attempt to an engine. If the engine is killed, another attempt is
// dispatched.
func (d *daemon) dispatch(r *request, ar admission.Request, release func(admission.Outcome)) {
	req := &routing.Request{
		PromptTokens: r.promptTokens + r.generatedTokens, MaxTokens: r.answerTokens - r.generatedTokens, Blocks: r.blocks,
		Rand: d.random.Uint64(), Now: d.sim.wallTime(d.sim.events.now),
	}
	d.candidates = d.tracker.Candidates(req, d.upstreams, d.candidates[:0])
	if d.sim.fleet.reportsSlots {
		for i := range d.candidates {
			d.candidates[i].Slots = d.sim.fleet.engine.maxBatchJobs
			if load := d.upstreams[i].Load; load != nil {
				d.candidates[i].StateAge = req.Now.Sub(load.ReceivedAt) + d.sim.fleet.reportLag
			}
		}
	}
	promptClass := r.class.promptClass()
	req.Prompts = d.prompts.View(&promptClass, req, d.candidates)
	index := d.sim.policy.Pick(req, d.candidates)
	d.prompts.Observe(&promptClass, req, d.candidates, index)
	selected := d.candidates[index]
	attempt := d.tracker.RecordSent(req, &selected)
	target := d.sim.engines[selected.Name]
	at := d.sim.events.now
	var first time.Duration
	d.sim.recordBestCached(r)
	target.submit(&job{
		request: r, promptTokens: req.PromptTokens,
		onFirstToken: func(*job) {
			first = d.sim.events.now - at
			d.tracker.RecordFirstToken(attempt)
			d.admission.RecordFirstToken(ar, first)
		},
		onDone: func(j *job) {
			d.sim.addRecomputed(j)
			d.tracker.RecordEnd(attempt, routing.Feedback{OK: true, FirstToken: first, FirstReported: true, PromptTokens: j.promptTokens, CachedTokens: j.cachedTokens})
			release(admission.Outcome{OK: true, FirstLatency: first, FirstReported: true, MeanGap: r.meanGap(), Total: d.sim.events.now - at})
		},
		onLost: func(j *job) {
			d.sim.regeneratedTokens += r.generatedTokens
			d.tracker.RecordEnd(attempt, routing.Feedback{FirstToken: first, FirstReported: first > 0})
			d.dispatch(r, ar, release)
		},
	})
}

// receiveLoad applies the load report of an engine, which is fleetModel.reportLag old.
func (d *daemon) receiveLoad(name string, load membership.Load) {
	load.AgeMs = d.sim.fleet.reportLag.Milliseconds()
	load.ReceivedAt = d.sim.wallTime(d.sim.events.now)
	for i := range d.upstreams {
		if d.upstreams[i].Name == name {
			d.upstreams[i].Load = &load
		}
	}
	d.updateAdmission()
}

// updateAdmission passes the number of engines and their reported load to the admission
// controller.
func (d *daemon) updateAdmission() {
	running, waiting := membership.SumLoad(d.upstreams)
	d.admission.SetUpstreams(poolName, len(d.upstreams), running, waiting)
}

// receiveCacheEvents applies the cache events of an engine up to number upTo. With a
// probability of eventLossShare, the first half of them is lost.
func (d *daemon) receiveCacheEvents(e *engine, upTo int64) {
	name := e.upstream.Name
	from := d.tracker.LastEvent(name)
	if from >= upTo {
		return
	}
	received := e.cache.log[from:upTo]
	if d.random.Float64() < eventLossShare {
		received = received[len(received)/2:]
	}
	d.tracker.ApplyCacheEvents(name, upTo, received)
}

// removeDomain excludes the engines of a failure domain from new attempts.
func (d *daemon) removeDomain(domain string) {
	remaining := make([]membership.Upstream, 0, len(d.upstreams))
	for _, u := range d.upstreams {
		if u.Domain != domain {
			remaining = append(remaining, u)
			continue
		}
		d.tracker.RecordReclaim(domain, d.sim.wallTime(d.sim.events.now))
	}
	d.upstreams = remaining
	d.updateAdmission()
}

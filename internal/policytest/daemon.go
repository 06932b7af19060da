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
	// reportEvery and reportLag are how often a daemon gets a load report of an
	// engine, and how old it is then.
	reportEvery = 2 * time.Second
	reportLag   = 500 * time.Millisecond
	// eventLag and eventLoss are the delay of cache events and the share of
	// answers from which events are missing.
	eventLag  = time.Second
	eventLoss = 0.05
)

// daemon is an entry daemon: the real tracker and admission controller, with a
// view of the engines that lags.
type daemon struct {
	sim       *simulation
	random    *rand.Rand
	tracker   *routing.Tracker
	admission *admission.Controller
	upstreams []membership.Upstream
	buffer    []routing.Candidate
}

func (d *daemon) arrive(r *request) {
	ar := admission.Request{
		Workspace: r.workspace, Class: r.class.name, Pool: poolName, Priority: r.class.priority,
		Cost: float64(r.prompt + r.answer), Deadline: d.sim.time(r.at + r.class.deadline),
		FirstTarget: r.class.first, GapTarget: r.class.between, Within: 0.95,
	}
	var release func(admission.Outcome)
	// The controller calls back with its lock held, so the start is an event.
	release = d.admission.Submit(ar, func(granted bool) {
		d.sim.events.after(0, func() {
			if !granted {
				r.refused = true
				return
			}
			r.started = d.sim.events.now
			d.send(r, ar, release)
		})
	})
}

// send routes an attempt.
func (d *daemon) send(r *request, ar admission.Request, release func(admission.Outcome)) {
	req := &routing.Request{
		PromptTokens: r.prompt + r.generated, MaxTokens: r.answer - r.generated, Blocks: r.blocks,
		Rand: d.random.Uint64(), Now: d.sim.time(d.sim.events.now),
	}
	d.buffer = d.tracker.Candidates(req, d.upstreams, d.buffer[:0])
	picked := d.buffer[d.sim.policy.Pick(req, d.buffer)]
	sent := d.tracker.Sent(req, &picked)
	target := d.sim.engines[picked.Name]
	at := d.sim.events.now
	var first time.Duration
	d.sim.countBest(r)
	target.submit(&job{
		request: r, prompt: req.PromptTokens,
		first: func(*job) {
			first = d.sim.events.now - at
			d.tracker.FirstToken(sent)
			d.admission.FirstToken(ar, first)
		},
		done: func(j *job) {
			d.sim.countRecomputed(j)
			d.tracker.Ended(sent, routing.Feedback{OK: true, FirstToken: first, FirstReported: true, PromptTokens: j.prompt, CachedTokens: j.cached})
			release(admission.Outcome{OK: true, First: first, FirstReported: true, Gap: r.gap(), Total: d.sim.events.now - at})
		},
		lost: func(j *job) {
			d.sim.moved += r.generated
			d.tracker.Ended(sent, routing.Feedback{FirstToken: first, FirstReported: first > 0})
			d.send(r, ar, release)
		},
	})
}

// report takes over what an engine said some time ago.
func (d *daemon) report(name string, load membership.Load) {
	load.AgeMs = reportLag.Milliseconds()
	load.ReceivedAt = d.sim.time(d.sim.events.now)
	for i := range d.upstreams {
		if d.upstreams[i].Name == name {
			d.upstreams[i].Load = &load
		}
	}
	d.reportUpstreams()
}

func (d *daemon) reportUpstreams() {
	running, waiting := membership.Reported(d.upstreams)
	d.admission.SetUpstreams(poolName, len(d.upstreams), running, waiting)
}

// learn takes over cache events up to a number, losing some now and then.
func (d *daemon) learn(e *engine, upTo int64) {
	name := e.upstream.Name
	from := d.tracker.LastEvent(name)
	if from >= upTo {
		return
	}
	seen := e.cache.log[from:upTo]
	if d.random.Float64() < eventLoss {
		seen = seen[len(seen)/2:]
	}
	d.tracker.CacheEvents(name, upTo, seen)
}

// leaving stops new work to the engines of a failure domain.
func (d *daemon) leaving(domain string) {
	kept := make([]membership.Upstream, 0, len(d.upstreams))
	for _, u := range d.upstreams {
		if u.Domain != domain {
			kept = append(kept, u)
			continue
		}
		d.tracker.Reclaimed(domain, d.sim.time(d.sim.events.now))
	}
	d.upstreams = kept
	d.reportUpstreams()
}

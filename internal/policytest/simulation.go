package policytest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rattantide/internal/admission"
	"rattantide/internal/membership"
	"rattantide/internal/routing"
)

const (
	domainCount = 3
	// noticePeriod is the time between the notice for a failure domain and its end.
	noticePeriod = 5 * time.Second
	// drainTime is the time after the last arrival in which requests can finish.
	drainTime = 60 * time.Second
)

// simulation is the state of one run of a policy on a workload.
type simulation struct {
	events     eventQueue
	fleet      fleetModel
	policy     routing.Policy
	engines    map[string]*engine
	engineList []*engine
	daemons    []*daemon
	requests   []*request
	// regeneratedTokens counts the generated tokens that another engine had to process
	// again. recomputedPromptTokens counts the prompt tokens that were processed
	// although some engine had them cached when the attempt was sent, according to
	// bestCachedTokens, which is indexed by request ID.
	regeneratedTokens      int
	recomputedPromptTokens int
	bestCachedTokens       map[int]int
}

// wallTime converts a simulated time to a time for the code under test.
func (s *simulation) wallTime(t time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(t) }

// Run simulates a policy on a workload whose arrival rate is multiplied by factor. The
// seed determines the requests and all random choices, so all policies get the same
// requests for the same seed.
func Run(policy routing.Policy, w Workload, factor float64, seed uint64) *Result {
	s := &simulation{fleet: w.fleetOrDefault(), policy: policy, engines: map[string]*engine{}, bestCachedTokens: map[int]int{}}
	s.requests = w.generate(rand.New(rand.NewPCG(seed, 1)), factor)
	s.build(seed)
	for _, r := range s.requests {
		d := s.daemons[int(hash64(uint64(r.id)^seed)%uint64(s.fleet.daemons))]
		s.events.scheduleAt(r.arrivedAt, func() { d.admit(r) })
	}
	if w.ReclaimAt > 0 {
		s.events.scheduleAt(w.ReclaimAt, func() { s.reclaimDomain("d0") })
	}
	end := w.Length + drainTime
	s.scheduleReports(end)
	s.events.run(end)
	return s.result()
}

// build creates the engines and the daemons.
func (s *simulation) build(seed uint64) {
	var upstreams []membership.Upstream
	for i := range s.fleet.engines {
		u := membership.Upstream{
			Name: fmt.Sprintf("engine-%02d", i), Domain: fmt.Sprintf("d%d", i%domainCount), Pool: poolName,
			Class: membership.Reclaimable, PricePerHour: 1,
		}
		// A quarter of the engines are on-demand instances, as in the target
		// deployment, and cost more.
		if i%4 == 3 && !s.fleet.hasOnePrice {
			u.Class, u.PricePerHour = membership.OnDemand, 2.5
		}
		e := &engine{upstream: u, model: &s.fleet.engine, events: &s.events, cache: newPrefixCache(s.fleet.engine.cacheTokens / blockTokens)}
		s.engines[u.Name] = e
		s.engineList = append(s.engineList, e)
		upstreams = append(upstreams, u)
	}
	for i := range s.fleet.daemons {
		d := &daemon{
			sim: s, random: rand.New(rand.NewPCG(seed, uint64(i)+100)), tracker: routing.NewTracker(0),
			admission: admission.New(admission.Options{Now: func() time.Time { return s.wallTime(s.events.now) }}),
			upstreams: append([]membership.Upstream(nil), upstreams...),
		}
		d.prompts.Daemons = func() int { return s.fleet.daemons }
		d.admission.SetUpstreams(poolName, len(upstreams), 0, 0)
		s.daemons = append(s.daemons, d)
	}
}

// scheduleReports schedules the delayed load reports and cache events of all engines to
// all daemons until end.
func (s *simulation) scheduleReports(end time.Duration) {
	for i, d := range s.daemons {
		for j, e := range s.engineList {
			offset := s.fleet.reportInterval * time.Duration(i*s.fleet.engines+j) / time.Duration(s.fleet.daemons*s.fleet.engines)
			for at := offset; at < end; at += s.fleet.reportInterval {
				s.events.scheduleAt(at, func() {
					if e.isDead {
						return
					}
					load, upTo := e.loadReport(), int64(len(e.cache.log))
					s.events.scheduleAfter(s.fleet.reportLag, func() { d.receiveLoad(e.upstream.Name, load) })
					s.events.scheduleAfter(eventLag, func() { d.receiveCacheEvents(e, upTo) })
				})
			}
		}
	}
}

// reclaimDomain gives notice for a failure domain and kills its engines after
// noticePeriod.
func (s *simulation) reclaimDomain(domain string) {
	for _, d := range s.daemons {
		d.removeDomain(domain)
	}
	s.events.scheduleAfter(noticePeriod, func() {
		for _, e := range s.engineList {
			if e.upstream.Domain == domain {
				e.kill()
			}
		}
	})
}

// recordBestCached records the longest prefix of the prompt, in tokens, that any engine
// has cached now.
func (s *simulation) recordBestCached(r *request) {
	best := 0
	for _, e := range s.engineList {
		if !e.isDead {
			best = max(best, e.cache.matchLength(r.blocks))
		}
	}
	s.bestCachedTokens[r.id] = best * blockTokens
}

// addRecomputed adds the prompt tokens of a finished job that another engine had cached
// beyond the prefix that its engine had.
func (s *simulation) addRecomputed(j *job) {
	s.recomputedPromptTokens += max(0, s.bestCachedTokens[j.request.id]-j.cachedTokens)
}

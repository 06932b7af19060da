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
	daemonCount = 4
	engineCount = 12
	domainCount = 3
	// noticeTime is how long before its end a failure domain gets its notice.
	noticeTime = 5 * time.Second
	// settleTime lets the last requests finish.
	settleTime = 60 * time.Second
)

// simulation is one run of a policy on a workload.
type simulation struct {
	events   events
	policy   routing.Policy
	engines  map[string]*engine
	order    []*engine
	daemons  []*daemon
	requests []*request
	// moved counts generated tokens that were processed again elsewhere;
	// missed counts prompt tokens that were processed although an engine held
	// them when the attempt was sent.
	moved  int
	missed int
	best   map[int]int
}

func (s *simulation) time(t time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(t) }

// Run runs a policy on a workload at a factor of its arrival rate. Policies
// with the same seed get the same requests.
func Run(policy routing.Policy, w Workload, factor float64, seed uint64) *Result {
	s := &simulation{policy: policy, engines: map[string]*engine{}, best: map[int]int{}}
	s.requests = w.generate(rand.New(rand.NewPCG(seed, 1)), factor)
	s.build(seed)
	for _, r := range s.requests {
		d := s.daemons[int(mix(uint64(r.id)^seed)%daemonCount)]
		s.events.at(r.at, func() { d.arrive(r) })
	}
	if w.ReclaimAt > 0 {
		s.events.at(w.ReclaimAt, func() { s.reclaim("d0") })
	}
	end := w.Length + settleTime
	s.watch(end)
	s.events.run(end)
	return s.result()
}

func (s *simulation) build(seed uint64) {
	var upstreams []membership.Upstream
	for i := range engineCount {
		u := membership.Upstream{
			Name: fmt.Sprintf("engine-%02d", i), Domain: fmt.Sprintf("d%d", i%domainCount), Pool: poolName,
			Class: membership.Reclaimable, PricePerHour: 1,
		}
		// A quarter is on demand, as at the target size, and dearer.
		if i%4 == 3 {
			u.Class, u.PricePerHour = membership.OnDemand, 2.5
		}
		e := &engine{upstream: u, events: &s.events, cache: newPrefixCache(cacheTokens / blockTokens)}
		s.engines[u.Name] = e
		s.order = append(s.order, e)
		upstreams = append(upstreams, u)
	}
	for i := range daemonCount {
		d := &daemon{
			sim: s, random: rand.New(rand.NewPCG(seed, uint64(i)+100)), tracker: routing.NewTracker(0),
			admission: admission.New(admission.Options{Now: func() time.Time { return s.time(s.events.now) }}),
			upstreams: append([]membership.Upstream(nil), upstreams...),
		}
		d.admission.SetUpstreams(poolName, len(upstreams), 0, 0)
		s.daemons = append(s.daemons, d)
	}
}

// watch delivers load reports and cache events with their delays.
func (s *simulation) watch(end time.Duration) {
	for i, d := range s.daemons {
		for j, e := range s.order {
			offset := reportEvery * time.Duration(i*engineCount+j) / (daemonCount * engineCount)
			for at := offset; at < end; at += reportEvery {
				s.events.at(at, func() {
					if e.dead {
						return
					}
					load, upTo := e.load(), int64(len(e.cache.log))
					s.events.after(reportLag, func() { d.report(e.upstream.Name, load) })
					s.events.after(eventLag, func() { d.learn(e, upTo) })
				})
			}
		}
	}
}

func (s *simulation) reclaim(domain string) {
	for _, d := range s.daemons {
		d.leaving(domain)
	}
	s.events.after(noticeTime, func() {
		for _, e := range s.order {
			if e.upstream.Domain == domain {
				e.kill()
			}
		}
	})
}

// countBest notes how much of the prompt any engine holds now.
func (s *simulation) countBest(r *request) {
	best := 0
	for _, e := range s.order {
		if !e.dead {
			best = max(best, e.cache.match(r.blocks))
		}
	}
	s.best[r.id] = best * blockTokens
}

func (s *simulation) countRecomputed(j *job) {
	s.missed += max(0, s.best[j.request.id]-j.cached)
}

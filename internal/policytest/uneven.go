package policytest

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"rattantide/internal/membership"
	"rattantide/internal/routing"
	"rattantide/internal/upstreamstate"
)

// Parameters of a fleet with uneven upstreams.
const (
	// slowShare of the upstreams are slowFactor times slower for slowPeriod, then others.
	slowShare  = 0.15
	slowFactor = 2.5
	slowPeriod = 600 * time.Millisecond
	// A slow upstream of a plain service cannot take its share of the requests.
	plainSlowFactor = 5.0
	plainSlowPeriod = 2 * time.Second
	// paceInterval is the time between two changes.
	paceInterval = 100 * time.Millisecond
	// snapshotInterval is the time between two states of upstreams.
	snapshotInterval = 100 * time.Millisecond
	unevenLength     = 18 * time.Second
	// unevenWarmUp is the time before which requests are not counted.
	unevenWarmUp = 10 * time.Second
	plainWork    = 30 * time.Millisecond
)

// unevenSpeeds are the lasting speeds of upstreams.
var unevenSpeeds = []float64{0.6, 1, 1.6}

// UnevenCase describes a fleet whose upstreams differ.
type UnevenCase struct {
	Daemons int
	// Lag is the age of the state of upstreams when daemons receive it.
	Lag time.Duration
	// Isolated is the share of daemons that receive no state.
	Isolated float64
	// IsPlain selects a plain service of three upstreams with 6 slots; it is a model pool of
	// 140 with 16 slots otherwise.
	IsPlain bool
	// Rate is the number of requests per second.
	Rate float64
}

// UnevenResult holds the measurements of a policy in an UnevenCase.
type UnevenResult struct {
	// Within is the share of the requests that were answered within the target, and P99 the
	// quantile 0.99 of the time to the first answer.
	Within float64
	P99    time.Duration
	// Busiest is the largest ratio of the share of requests that an upstream got to the one
	// that corresponds to its speed, in all and within one second.
	Busiest, BusiestSecond float64
}

// unevenFleet is the state of one run.
type unevenFleet struct {
	UnevenCase
	events    eventQueue
	random    *rand.Rand
	policy    routing.Policy
	engines   []*engine
	servers   []*plainServer
	paces     []float64
	speeds    []float64
	daemons   []*unevenDaemon
	store     *upstreamstate.Store
	processes []upstreamstate.Process
	upstreams []membership.Upstream
	// positions are those in upstreams by name.
	positions map[string]int
	// requests are those after the warm-up, and first their times to the first answer.
	requests      int
	first         []time.Duration
	counts        []int
	second        []int
	busiestSecond float64
}

// unevenDaemon is a daemon with its view of the upstreams.
type unevenDaemon struct {
	trackers   *routing.Trackers
	upstreams  []membership.Upstream
	isIsolated bool
	buffer     []routing.Candidate
}

// RunUneven simulates a policy. The seed determines all of it.
func RunUneven(policy routing.Policy, c UnevenCase, seed uint64) UnevenResult {
	f := &unevenFleet{UnevenCase: c, random: rand.New(rand.NewPCG(seed, 7)), policy: policy, store: upstreamstate.NewStore(), positions: map[string]int{}}
	f.build()
	f.schedule(seed)
	f.events.run(unevenLength + 3*time.Second)
	return f.result()
}

// wallTime returns the simulated time of day.
func (f *unevenFleet) wallTime() time.Time { return time.Unix(1_000_000, 0).Add(f.events.now) }

// build creates the upstreams and the daemons.
func (f *unevenFleet) build() {
	count := 140
	if f.IsPlain {
		count = 3
	}
	f.paces, f.speeds = make([]float64, count), make([]float64, count)
	f.counts, f.second = make([]int, count), make([]int, count)
	for i := range count {
		f.paces[i], f.speeds[i] = 1, 1
		if !f.IsPlain {
			f.speeds[i] = unevenSpeeds[i%len(unevenSpeeds)]
		}
		slowness := func(time.Duration) float64 { return f.paces[i] / f.speeds[i] }
		u := membership.Upstream{
			Name: fmt.Sprintf("u-%03d", i), Address: "a", Generation: 1, Pool: poolName, Domain: fmt.Sprintf("d%d", i%domainCount), PricePerHour: 1,
		}
		f.positions[u.Name] = i
		f.upstreams = append(f.upstreams, u)
		f.processes = append(f.processes, upstreamstate.Process{Pool: poolName, Name: u.Name, Address: u.Address, Generation: 1})
		if f.IsPlain {
			f.servers = append(f.servers, &plainServer{events: &f.events, slots: 6, work: plainWork, slowness: slowness})
			continue
		}
		f.engines = append(f.engines, &engine{
			upstream: u, model: &defaultFleet.engine, events: &f.events, cache: newPrefixCache(defaultFleet.engine.cacheTokens / blockTokens), slots: 16, slowness: slowness,
		})
	}
	f.store.SetUpstreams(f.processes)
	for i := range f.Daemons {
		d := &unevenDaemon{upstreams: f.upstreams, isIsolated: float64(i) < f.Isolated*float64(f.Daemons)}
		d.trackers = &routing.Trackers{}
		if !d.isIsolated {
			d.trackers.OnSlowness = func(s routing.SlownessSample) {
				f.store.ObserveSlowness(upstreamstate.Process{Name: s.Upstream, Address: s.Address, Generation: s.Generation}, s.Ratio, f.wallTime())
			}
		}
		f.daemons = append(f.daemons, d)
	}
}

// schedule schedules the requests, the reports and the changes of the pace.
func (f *unevenFleet) schedule(seed uint64) {
	requests := poissonArrivals(rand.New(rand.NewPCG(seed, 8)), unevenLength, func(time.Duration) float64 { return f.Rate }, f.fill)
	for _, r := range requests {
		d := f.daemons[int(hash64(uint64(r.id)^seed)%uint64(f.Daemons))]
		f.events.scheduleAt(r.arrivedAt, func() { f.dispatch(d, r) })
	}
	for at := time.Duration(0); at < unevenLength; at += snapshotInterval {
		f.events.scheduleAt(at, f.snapshot)
	}
	for at := time.Duration(0); at < unevenLength; at += paceInterval {
		f.events.scheduleAt(at, f.changePaces)
	}
	for at := unevenWarmUp; at < unevenLength; at += time.Second {
		f.events.scheduleAt(at, f.countSecond)
	}
}

// fill generates chats and middle prompts, or plain requests.
func (f *unevenFleet) fill(r *request) {
	r.class = &class{firstTokenTarget: f.target()}
	if f.IsPlain {
		return
	}
	r.promptTokens, r.answerTokens = 715, 56
	shared := 172
	if r.id%5 == 0 {
		r.promptTokens, r.answerTokens, shared = 2368, 5, 568
	}
	r.blocks = blockHashes(uint64(r.id%30), shared, uint64(r.id)+1<<32, r.promptTokens)
}

// target returns the target for the first answer.
func (f *unevenFleet) target() time.Duration {
	if f.IsPlain {
		return 150 * time.Millisecond
	}
	return 800 * time.Millisecond
}

// changePaces makes other upstreams slow: each one changes every slowPeriod on average.
func (f *unevenFleet) changePaces() {
	period, factor := slowPeriod, slowFactor
	if f.IsPlain {
		period, factor = plainSlowPeriod, plainSlowFactor
	}
	for i := range f.paces {
		if f.random.Float64() >= float64(paceInterval)/float64(period) {
			continue
		}
		f.paces[i] = 1
		if f.random.Float64() < slowShare {
			f.paces[i] = factor
		}
	}
}

// load returns the current report of an upstream.
func (f *unevenFleet) load(i int) membership.Load {
	l := membership.Load{Pace: f.paces[i]}
	if f.IsPlain {
		l.Running, l.Waiting, l.Slots = f.servers[i].running, len(f.servers[i].waiting), f.servers[i].slots
	} else {
		l.Running, l.Waiting, l.Slots = len(f.engines[i].running), len(f.engines[i].waiting), f.engines[i].slots
	}
	return l
}

// snapshot delivers the current state of all upstreams to the daemons after Lag.
func (f *unevenFleet) snapshot() {
	upstreams := slices.Clone(f.upstreams)
	loads := make([]membership.Load, len(upstreams))
	for i := range upstreams {
		loads[i] = f.load(i)
		f.store.Observe(f.processes[i], loads[i], f.wallTime())
		upstreams[i].Load = &loads[i]
	}
	for _, u := range f.store.Updates(f.wallTime(), nil) {
		loads[f.positions[u.Process.Name]].Speed = u.Load.Speed
	}
	f.events.scheduleAfter(f.Lag, func() {
		for i := range loads {
			loads[i].AgeMs, loads[i].ReceivedAt = f.Lag.Milliseconds(), f.wallTime()
		}
		for _, d := range f.daemons {
			if !d.isIsolated {
				d.upstreams = upstreams
			}
		}
	})
}

// dispatch sends a request to the upstream that the policy picks for a daemon.
func (f *unevenFleet) dispatch(d *unevenDaemon, r *request) {
	req := &routing.Request{PromptTokens: r.promptTokens, MaxTokens: r.answerTokens, Blocks: r.blocks, Rand: f.random.Uint64(), Now: f.wallTime()}
	tracker := d.trackers.Pool(poolName)
	d.buffer = tracker.Candidates(req, d.upstreams, d.buffer[:0])
	picked := f.policy.Pick(req, d.buffer)
	sent := tracker.RecordSent(req, &d.buffer[picked])
	if r.arrivedAt >= unevenWarmUp {
		f.counts[picked]++
		f.second[picked]++
	}
	at := f.events.now
	var first time.Duration
	onFirst := func() {
		first = f.events.now - at
		if r.arrivedAt >= unevenWarmUp {
			f.first = append(f.first, first)
		}
	}
	onDone := func() {
		tracker.RecordEnd(sent, routing.Feedback{
			Now: f.wallTime(), OK: true, FirstToken: first, FirstReported: !f.IsPlain, PromptTokens: 0,
		})
	}
	if r.arrivedAt >= unevenWarmUp {
		f.requests++
	}
	if f.IsPlain {
		f.servers[picked].submit(func() {
			onFirst()
			onDone()
		})
		return
	}
	f.engines[picked].submit(&job{
		request: r, promptTokens: r.promptTokens,
		onFirstToken: func(*job) {
			onFirst()
			tracker.RecordFirstToken(sent)
		},
		onDone: func(*job) { onDone() },
	})
}

// countSecond evaluates the requests of one second.
func (f *unevenFleet) countSecond() {
	f.busiestSecond = max(f.busiestSecond, f.busiest(f.second))
	clear(f.second)
}

// busiest returns the largest ratio of a count to the one that corresponds to the speed.
func (f *unevenFleet) busiest(counts []int) float64 {
	total, speeds, most := 0, 0.0, 0.0
	for i, n := range counts {
		total += n
		speeds += f.speeds[i]
	}
	for i, n := range counts {
		most = max(most, float64(n)/float64(max(1, total))*speeds/f.speeds[i])
	}
	return most
}

// result evaluates the run.
func (f *unevenFleet) result() UnevenResult {
	target, within := f.target(), 0
	for _, first := range f.first {
		if first <= target {
			within++
		}
	}
	slices.Sort(f.first)
	r := UnevenResult{Within: float64(within) / float64(f.requests), Busiest: f.busiest(f.counts), BusiestSecond: f.busiestSecond}
	if len(f.first) > 0 {
		r.P99 = f.first[len(f.first)*99/100]
	}
	return r
}

package quarantine

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"rattantide/internal/telemetry"
)

// The parts of the prompts of a simulated fleet. Documents have the numbers from
// firstDocument on; each route has a system prompt of its own.
const (
	crashingPart  = 13
	systemPart    = 100
	firstDocument = 1000
)

// fleetLoad describes the traffic of a simulated fleet and what ends its upstreams.
type fleetLoad struct {
	daemons, upstreams int
	// soundPerSecond and crashingPerSecond are the requests of the whole fleet; documents
	// is the number of documents that sound ones refer to.
	soundPerSecond, crashingPerSecond float64
	documents                         int
	// killsPerSecond is the number of upstreams that end without a crashing request,
	// waveSize how many of them end together.
	killsPerSecond float64
	waveSize       int
	// wasSound is set if requests with the crashing part are sound before from.
	wasSound bool
	// extraParts is the number of further parts that each crashing request has.
	extraParts int
	// from and length are when crashing requests and kills begin, and the end.
	from, length time.Duration
}

// fleetResult is what happened in a simulated fleet.
type fleetResult struct {
	crashes int
	// late is the number of crashing requests that reached upstreams later than
	// contactBound after the fifth crash.
	late int
	// sound, begun and refused count sound requests after the first second of trouble; those
	// that began did so at the first attempt, and those refused could have been sent.
	sound, begun, refused int
}

// contactBound is the time after the fifth crash in which every daemon must know.
const contactBound = 3 * time.Second

// simEvent is a step of the simulation.
type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(e any)   { *q = append(*q, e.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simUpstream is an upstream; open are the requests whose answer has not begun.
type simUpstream struct {
	generation int
	isDown     bool
	open       map[*simRequest]bool
}

type simRequest struct {
	daemon     int
	parts      []uint64
	isCrashing bool
	attempts   int
	sentAt     time.Time
	isCanceled bool
	suspicion  *Attempt
}

// simFleet runs the Trackers of a fleet on a simulated clock.
type simFleet struct {
	fleetLoad
	t         *testing.T
	random    *rand.Rand
	start     time.Time
	now       time.Time
	queue     simQueue
	seq       int
	trackers  []*Tracker
	isSending []bool
	upstreams []*simUpstream
	fifth     time.Time
	result    fleetResult
}

func simulate(t *testing.T, load fleetLoad, seed uint64) fleetResult {
	f := &simFleet{fleetLoad: load, t: t, random: rand.New(rand.NewPCG(seed, 7)), start: time.Unix(1000, 0)}
	f.now = f.start
	f.isSending = make([]bool, load.daemons)
	for i := range load.daemons {
		f.trackers = append(f.trackers, New(Options{
			Policy:    PromptParts,
			IsLeaving: func(string) bool { return false }, IsProber: func(part uint64) bool { return int(part)%load.daemons == i },
			OnNews: func() { f.spread(i) }, Now: func() time.Time { return f.now }, Logger: telemetry.Discard(), Scope: tally.NoopScope,
		}))
		f.after(f.upTo(250*time.Millisecond), func() { f.exchangeRound(i) })
	}
	for range load.upstreams {
		f.upstreams = append(f.upstreams, &simUpstream{open: map[*simRequest]bool{}})
	}
	f.repeat(load.soundPerSecond, 0, func() { f.arrive(false) })
	f.repeat(load.crashingPerSecond, load.from, func() { f.arrive(true) })
	f.repeat(load.killsPerSecond/float64(max(load.waveSize, 1)), load.from, f.killWave)
	for len(f.queue) > 0 && f.queue[0].at.Sub(f.start) < load.length {
		e := heap.Pop(&f.queue).(simEvent)
		f.now = e.at
		e.run()
	}
	return f.result
}

func (f *simFleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(d)))
}

func (f *simFleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, simEvent{at: f.now.Add(d), seq: f.seq, run: run})
}

// repeat runs fn as often per second, at random times.
func (f *simFleet) repeat(perSecond float64, from time.Duration, fn func()) {
	if perSecond <= 0 {
		return
	}
	next := func() time.Duration { return time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)) }
	var step func()
	step = func() {
		fn()
		f.after(next(), step)
	}
	f.after(from+next(), step)
}

// exchangeRound exchanges reports with four daemons, four times a second.
func (f *simFleet) exchangeRound(daemon int) {
	f.send(daemon, 4, true)
	f.trackers[daemon].Tick()
	f.after(250*time.Millisecond, func() { f.exchangeRound(daemon) })
}

// spread sends news to eight daemons at once and then at most each 100 ms.
func (f *simFleet) spread(daemon int) {
	if f.isSending[daemon] {
		return
	}
	f.isSending[daemon] = true
	f.after(time.Millisecond, func() { f.send(daemon, 8, false) })
	f.after(100*time.Millisecond, func() { f.isSending[daemon] = false })
}

func (f *simFleet) send(from, count int, isExchange bool) {
	text, err := json.Marshal(f.trackers[from].Evidence())
	assert.NilError(f.t, err)
	assert.Assert(f.t, len(text) < 24<<10, "evidence of %d bytes", len(text))
	for range count {
		to := f.random.IntN(f.daemons)
		f.after(time.Millisecond+f.upTo(4*time.Millisecond), func() {
			var e Evidence
			assert.NilError(f.t, json.Unmarshal(text, &e))
			f.trackers[to].Merge(&e, f.now)
			if isExchange {
				f.send(to, 0, false)
				back := f.trackers[to].Evidence()
				f.trackers[from].Merge(&back, f.now)
			}
		})
	}
}

// arrive sends a request to a daemon. Documents are referred to by very different numbers
// of requests.
func (f *simFleet) arrive(isCrashing bool) {
	r := &simRequest{daemon: f.random.IntN(f.daemons), isCrashing: isCrashing, parts: []uint64{systemPart + uint64(f.random.IntN(3))}}
	if f.documents > 0 {
		r.parts = append(r.parts, firstDocument+uint64(float64(f.documents)*f.random.Float64()*f.random.Float64()*f.random.Float64()))
	}
	if f.wasSound && !isCrashing && f.now.Sub(f.start) < f.from && f.random.IntN(3) == 0 {
		r.parts = append(r.parts, crashingPart)
	}
	if isCrashing {
		r.parts = append(r.parts, crashingPart)
		for range f.extraParts {
			r.parts = append(r.parts, f.random.Uint64())
		}
	}
	f.attempt(r)
}

func (f *simFleet) isCounted(r *simRequest) bool {
	return !r.isCrashing && f.now.Sub(f.start) > f.from+time.Second
}

func (f *simFleet) attempt(r *simRequest) {
	if r.attempts == 0 && f.isCounted(r) {
		f.result.sound++
	}
	var up []int
	for i, u := range f.upstreams {
		if !u.isDown {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		return
	}
	if f.trackers[r.daemon].Check(r.parts, r.attempts > 0) != Allow {
		if f.isCounted(r) {
			f.result.refused++
		}
		return
	}
	index := up[f.random.IntN(len(up))]
	u := f.upstreams[index]
	r.attempts++
	r.sentAt = f.now
	if r.isCrashing && !f.fifth.IsZero() && f.now.Sub(f.fifth) > contactBound {
		f.result.late++
	}
	r.suspicion = f.trackers[r.daemon].Start(fmt.Sprintf("%d-%d", index, u.generation), r.parts, func() { r.isCanceled = true })
	u.open[r] = true
	generation := u.generation
	f.after(50*time.Millisecond+f.upTo(300*time.Millisecond), func() { f.begin(u, generation, r) })
}

// begin begins an answer, or ends the upstream that would.
func (f *simFleet) begin(u *simUpstream, generation int, r *simRequest) {
	if u.generation != generation || !u.open[r] {
		return
	}
	delete(u.open, r)
	switch {
	case r.isCanceled:
		r.suspicion.End()
	case r.isCrashing:
		u.open[r] = true
		f.end(u)
	default:
		r.suspicion.RecordBegun()
		if r.attempts == 1 && f.isCounted(r) {
			f.result.begun++
		}
	}
}

// end ends an upstream and starts it again some seconds later.
func (f *simFleet) end(u *simUpstream) {
	if u.isDown {
		return
	}
	f.result.crashes++
	if f.result.crashes == 5 {
		f.fifth = f.now
	}
	u.isDown = true
	u.generation++
	lost := u.open
	u.open = map[*simRequest]bool{}
	for r := range lost {
		f.after(time.Millisecond+f.upTo(2*time.Millisecond), func() {
			r.suspicion.RecordLost()
			if r.attempts < 2 {
				f.attempt(r)
			}
		})
	}
	f.after(2*time.Second+f.upTo(2*time.Second), func() { u.isDown = false })
}

func (f *simFleet) killWave() {
	for _, i := range f.random.Perm(len(f.upstreams))[:min(max(f.waveSize, 1), len(f.upstreams))] {
		f.end(f.upstreams[i])
	}
}

// deniedBound returns how many of the sound requests operators allow to be refused.
func deniedBound(sound int) int { return 5 + sound/500 }

// seedsFor returns fewer seeds for large fleets.
func seedsFor(daemons int) uint64 {
	if daemons > 100 {
		return 1
	}
	return 4
}

// lengthFor returns shorter times for large fleets.
func lengthFor(daemons int) time.Duration {
	if daemons > 100 {
		return 8 * time.Second
	}
	return 20 * time.Second
}

// Guards against a part of prompts that crashes one upstream after the other although each
// daemon sees few of the crashes, and against sound requests that are refused with it.
func TestFleetFindsCrashingPart(t *testing.T) {
	for name, load := range map[string]fleetLoad{
		"small fleet":                     {daemons: 9, upstreams: 13, soundPerSecond: 150, crashingPerSecond: 15, documents: 60},
		"small fleet, few requests":       {daemons: 9, upstreams: 13, soundPerSecond: 40, crashingPerSecond: 0.7, documents: 60},
		"small fleet, few crash at all":   {daemons: 9, upstreams: 13, soundPerSecond: 20, crashingPerSecond: 0.2, documents: 400},
		"small fleet, flood of parts":     {daemons: 9, upstreams: 13, soundPerSecond: 150, crashingPerSecond: 15, documents: 60, extraParts: 60},
		"small fleet, dense":              {daemons: 9, upstreams: 9, soundPerSecond: 150, crashingPerSecond: 150, documents: 60},
		"small fleet, with kills":         {daemons: 9, upstreams: 13, soundPerSecond: 150, crashingPerSecond: 5, documents: 200, killsPerSecond: 0.5},
		"large fleet":                     {daemons: 295, upstreams: 128, soundPerSecond: 1500, crashingPerSecond: 40, documents: 600},
		"large fleet, few crash requests": {daemons: 295, upstreams: 128, soundPerSecond: 500, crashingPerSecond: 1, documents: 600},
	} {
		t.Run(name, func(t *testing.T) {
			load.from, load.length = 3*time.Second, lengthFor(load.daemons)
			for seed := range seedsFor(load.daemons) {
				r := simulate(t, load, seed)
				assert.Check(t, r.late <= 3, "seed %d: %d late requests: %+v", seed, r.late, r)
				assert.Check(t, r.refused <= deniedBound(r.sound), "seed %d: sound requests refused: %+v", seed, r)
				if load.killsPerSecond == 0 {
					assert.Check(t, r.begun*10 >= r.sound*8, "seed %d: sound requests not begun: %+v", seed, r)
				}
				if seed == 0 {
					t.Logf("%+v", r)
				}
			}
		})
	}
}

// Guards against a part of prompts that crashes upstreams after it was sound until a moment
// before, as with a new version of them.
func TestFleetFindsPartThatWasSound(t *testing.T) {
	load := fleetLoad{daemons: 9, upstreams: 13, soundPerSecond: 150, crashingPerSecond: 8, documents: 60, wasSound: true}
	load.from, load.length = 3*time.Second, lengthFor(load.daemons)
	for seed := range uint64(20) {
		r := simulate(t, load, seed)
		assert.Check(t, r.late <= 3, "seed %d: %d late requests: %+v", seed, r.late, r)
	}
}

// Guards against sound requests that are refused because upstreams end for other reasons,
// one after the other or many at a time, while requests run on them.
func TestKillsBlameNoPart(t *testing.T) {
	for name, load := range map[string]fleetLoad{
		"in series":             {daemons: 9, upstreams: 13, soundPerSecond: 150, documents: 60, killsPerSecond: 3},
		"in series, rare parts": {daemons: 9, upstreams: 13, soundPerSecond: 150, documents: 2000, killsPerSecond: 3},
		"all at once":           {daemons: 9, upstreams: 13, soundPerSecond: 300, documents: 60, killsPerSecond: 3, waveSize: 13},
		"half at once":          {daemons: 9, upstreams: 13, soundPerSecond: 300, documents: 2000, killsPerSecond: 3, waveSize: 6},
		"large fleet":           {daemons: 295, upstreams: 128, soundPerSecond: 1500, documents: 600, killsPerSecond: 10, waveSize: 40},
	} {
		t.Run(name, func(t *testing.T) {
			load.from, load.length = 3*time.Second, lengthFor(load.daemons)
			for seed := range seedsFor(load.daemons) {
				r := simulate(t, load, seed)
				assert.Check(t, r.refused <= deniedBound(r.sound), "seed %d: sound requests refused: %+v", seed, r)
				if seed == 0 {
					t.Logf("%+v", r)
				}
			}
		})
	}
}

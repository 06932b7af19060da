package upstreamstate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// headerBytes is the size of a topic message without its payload: marker, topic, and the
// lengths and texts of a daemon's name and its process.
const headerBytes = 2 + 1 + len("front-000") + 1 + len("8bytes..")

// testFleet is a fleet of daemons whose messages take 2 ms.
type testFleet struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Time
	names     []string
	stores    map[string]*Store
	exchanges map[string]*Exchange
	// offsets are the differences between the clocks of the daemons.
	offsets    map[string]time.Duration
	collectors func(self string) []string
	isCut      func(from, to string) bool
	isDead     map[string]bool
	received   map[string]int
	// delays are the times from an observation to its receipt by another daemon.
	delays   []time.Duration
	observed map[string]time.Time
	started  time.Time
}

func newTestFleet(t *testing.T, daemons, upstreams int) *testFleet {
	f := &testFleet{
		t: t, random: rand.New(rand.NewPCG(1, 2)), now: epoch, started: epoch, stores: map[string]*Store{}, exchanges: map[string]*Exchange{},
		offsets: map[string]time.Duration{}, isDead: map[string]bool{}, received: map[string]int{}, observed: map[string]time.Time{},
		isCut: func(string, string) bool { return false },
	}
	for i := range daemons {
		name := fmt.Sprintf("front-%03d", i)
		f.names = append(f.names, name)
		f.stores[name] = newTestStore(upstreams)
		f.exchanges[name] = NewExchange(f.stores[name])
		f.offsets[name] = time.Duration(f.random.IntN(1_000_000)) * time.Second
	}
	f.collectors = func(string) []string { return f.names[:2] }
	return f
}

func (f *testFleet) clock(name string) time.Time { return f.now.Add(f.offsets[name]) }

// run simulates a time in steps of 1 ms. Each daemon ticks at a moment of its own. The answers
// of upstreams arrive at random daemons at a rate per second.
func (f *testFleet) run(length time.Duration, upstreams int, answersPerSecond float64) {
	const step = time.Millisecond
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		for f.random.Float64() < answersPerSecond*step.Seconds() {
			f.answer(f.random.IntN(upstreams))
			if f.random.IntN(2) == 0 {
				break
			}
		}
		for i, name := range f.names {
			phase := time.Duration(i*37) * step % TickInterval
			if f.now.Sub(f.started)%TickInterval == phase && !f.isDead[name] {
				f.tick(name)
			}
		}
	}
}

// answer lets a random live daemon hear from an upstream. The number of waiting
// requests distinguishes the observations of an upstream.
func (f *testFleet) answer(upstream int) {
	name := f.names[f.random.IntN(len(f.names))]
	if f.isDead[name] {
		return
	}
	load := testLoad(f.random.IntN(17), 1+1.5*float64(f.random.IntN(7)/6))
	load.Waiting = f.random.IntN(100)
	f.stores[name].Observe(testProcess(upstream), load, f.clock(name))
	f.stores[name].ObserveSlowness(testProcess(upstream), 0.5+f.random.Float64(), f.clock(name))
	f.observed[observationID(testProcess(upstream).Name, load.Running, load.Waiting)] = f.now
}

func observationID(name string, running, waiting int) string {
	return fmt.Sprint(name, " ", running, " ", waiting)
}

func (f *testFleet) tick(name string) {
	fleet := Fleet{Self: name, Collectors: f.collectors(name), Daemons: f.names}
	for _, m := range f.exchanges[name].Tick(fleet, f.clock(name)) {
		assert.Assert(f.t, len(m.Payload) <= maxMessageBytes)
		for _, to := range m.To {
			if f.isDead[to] || f.isCut(name, to) {
				continue
			}
			assert.Assert(f.t, to != name)
			f.received[to] += len(m.Payload) + headerBytes
			updates, invalid, err := f.stores[to].Merge(m.Payload, f.clock(to).Add(2*time.Millisecond), nil)
			assert.NilError(f.t, err)
			assert.Equal(f.t, invalid, 0)
			for _, u := range updates {
				at, ok := f.observed[observationID(u.Process.Name, u.Load.Running, u.Load.Waiting)]
				if ok && !slices.Contains(f.names[:2], to) {
					f.delays = append(f.delays, f.now.Sub(at)+2*time.Millisecond)
				}
			}
		}
	}
}

// known returns the number of upstreams of which a daemon has state of at most an age.
func (f *testFleet) known(name string, age time.Duration) int {
	count := 0
	for _, u := range f.stores[name].Updates(f.clock(name), nil) {
		if u.Load.AgeMs <= age.Milliseconds() {
			count++
		}
	}
	return count
}

func (f *testFleet) delay(quantile float64) time.Duration {
	sort.Slice(f.delays, func(i, j int) bool { return f.delays[i] < f.delays[j] })
	return f.delays[int(quantile*float64(len(f.delays)-1))]
}

// Guards against an exchange that costs more than a fleet of this size allows, or that informs
// the daemons too late.
func TestExchangeCostAndDelay(t *testing.T) {
	const upstreams, seconds = 143, 10
	for _, c := range []struct{ daemons, daemonBytes, collectorBytes int }{{10, 4000, 40_000}, {61, 3200, 40_000}, {300, 3200, 40_000}} {
		t.Run(fmt.Sprint(c.daemons), func(t *testing.T) {
			f := newTestFleet(t, c.daemons, upstreams)
			f.run(2*time.Second, upstreams, 850)
			clear(f.received)
			f.delays = nil
			f.run(seconds*time.Second, upstreams, 850)
			most, collector := 0, 0
			for _, name := range f.names[2:] {
				most = max(most, f.received[name]/seconds)
			}
			for _, name := range f.names[:2] {
				collector = max(collector, f.received[name]/seconds)
			}
			t.Logf("%d daemons: %d B/s to a daemon, %d B/s to a collector; delay 0.5 %v 0.9 %v 0.95 %v; known within 0.5 s: %d, 1 s: %d",
				c.daemons, most, collector, f.delay(0.5), f.delay(0.9), f.delay(0.95), f.known(f.names[5], time.Second/2), f.known(f.names[5], time.Second))
			assert.Assert(t, most <= c.daemonBytes)
			assert.Assert(t, collector <= c.collectorBytes)
			// The intervals of the largest fleet are twice as long.
			limit, known := 300*time.Millisecond, upstreams*9/10
			if c.daemons > plannedDaemons {
				limit, known = 2*limit, upstreams*8/10
			}
			assert.Assert(t, f.known(f.names[5], time.Second) >= known)
			assert.Assert(t, f.delay(0.5) <= limit, "%v", f.delay(0.5))
		})
	}
}

// Guards against a fleet that knows nothing after the loss of one collector, before another one
// is chosen and after it has started from nothing.
func TestCollectorDies(t *testing.T) {
	const upstreams = 40
	f := newTestFleet(t, 20, upstreams)
	f.run(3*time.Second, upstreams, 400)
	f.isDead[f.names[0]] = true
	f.run(3*time.Second, upstreams, 400)
	for _, name := range f.names[2:] {
		assert.Assert(t, f.known(name, 1500*time.Millisecond) >= upstreams*3/4, "%s knows %d", name, f.known(name, 1500*time.Millisecond))
	}
	f.collectors = func(string) []string { return f.names[1:3] }
	f.run(2*time.Second, upstreams, 400)
	for _, name := range f.names[3:] {
		assert.Assert(t, f.known(name, time.Second) >= upstreams*9/10, "%s knows %d", name, f.known(name, time.Second))
	}
}

// Guards against state that appears to be fresh on the side of a partition that does not hear
// of it, and against a side that cannot go on or cannot join again.
func TestPartition(t *testing.T) {
	const upstreams = 40
	f := newTestFleet(t, 20, upstreams)
	f.run(2*time.Second, upstreams, 400)
	side := func(name string) bool { return slices.Index(f.names, name) < 10 }
	f.isCut = func(from, to string) bool { return side(from) != side(to) }
	f.run(2*time.Second, upstreams, 400)
	assert.Assert(t, f.known(f.names[5], time.Second) >= upstreams*9/10, "the side of the collectors")
	assert.Assert(t, f.known(f.names[15], 500*time.Millisecond) < upstreams/2, "the other side, before it has collectors")
	f.collectors = func(self string) []string {
		if side(self) {
			return f.names[:2]
		}
		return f.names[10:12]
	}
	f.run(2*time.Second, upstreams, 400)
	assert.Assert(t, f.known(f.names[15], time.Second) >= upstreams*9/10)
	f.isCut = func(string, string) bool { return false }
	f.collectors = func(string) []string { return f.names[:2] }
	f.run(2*time.Second, upstreams, 400)
	assert.Assert(t, f.known(f.names[15], time.Second) >= upstreams*9/10)
}

// Guards against a daemon that has joined, or whose clock jumps, and never gets the slots of
// upstreams, and against sending where upstreams report nothing.
func TestNewDaemonAndSilentUpstreams(t *testing.T) {
	const upstreams = 40
	f := newTestFleet(t, 10, upstreams)
	f.run(time.Second, upstreams, 0)
	assert.Equal(t, len(f.received), 0)
	f.run(2*time.Second, upstreams, 400)
	f.stores[f.names[7]] = newTestStore(upstreams)
	f.exchanges[f.names[7]] = NewExchange(f.stores[f.names[7]])
	f.offsets[f.names[8]] += time.Hour
	f.offsets[f.names[9]] -= time.Hour
	f.run(3*time.Second, upstreams, 400)
	assert.Assert(t, f.known(f.names[7], time.Second) >= upstreams*9/10)
	assert.Assert(t, f.known(f.names[8], time.Second) >= upstreams*9/10)
}

// BenchmarkTick measures what a collector of 300 daemons spends on choosing what to send.
func BenchmarkTick(b *testing.B) {
	s := newTestStore(143)
	x := NewExchange(s)
	fleet := Fleet{Self: "front-000", Collectors: []string{"front-000", "front-001"}}
	for i := range 300 {
		fleet.Daemons = append(fleet.Daemons, fmt.Sprintf("front-%03d", i))
	}
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		for i := range 143 {
			s.Observe(testProcess(i), testLoad(i%17, 1), now)
		}
		now = now.Add(2 * TickInterval)
		x.Tick(fleet, now)
	}
}

// BenchmarkMerge measures the receipt of a message of a collector.
func BenchmarkMerge(b *testing.B) {
	a, s := newTestStore(143), newTestStore(143)
	now := epoch
	var updates []Update
	b.ReportAllocs()
	for b.Loop() {
		for i := range 40 {
			a.Observe(testProcess(i), testLoad(i%17, 1), now)
		}
		payload := a.encodeUnsent(toFirst, 300, now)
		updates, _, _ = s.Merge(payload, now, updates[:0])
		now = now.Add(100 * time.Millisecond)
	}
}

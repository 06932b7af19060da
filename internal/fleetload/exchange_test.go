package fleetload

import (
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"rattantide/internal/peering"
)

// testLoad returns a load as one daemon of a large deployment has it.
func testLoad(pool uint32) Load {
	l := Load{Pool: pool}
	for rank := 7; rank < RankCount; rank++ {
		l.Ranks[rank] = Rank{Demand: 29_696, Outstanding: 8_192, Throughput: 30_720, Ratios: Ratios{1, 2, 1, 0, 1, 0}}
	}
	for i := range maxReportedWorkspaces {
		l.Workspaces = append(l.Workspaces, Workspace{Key: uint32(i) * 123_456_789, Rank: 7, Demand: 5_120})
	}
	return l
}

// testFleet connects exchanges without delay.
type testFleet struct {
	now        time.Time
	exchanges  []*Exchange
	collectors []string
	// received is the number of bytes that each daemon received, and applied the latest
	// sum and the number of daemons in it.
	received []int
	applied  [][]Load
	daemons  []int
	isLost   func(from, to int) bool
	load     func(i int) []Load
}

func newTestFleet(n int) *testFleet {
	f := &testFleet{now: time.Unix(1000, 0), collectors: []string{"d0", "d1"}, received: make([]int, n), applied: make([][]Load, n), daemons: make([]int, n)}
	f.load = func(int) []Load {
		plain := testLoad(2)
		plain.Ranks[7], plain.Ranks[8] = Rank{}, Rank{}
		return []Load{testLoad(1), plain}
	}
	for i := range n {
		var others []string
		for j := range n {
			if j != i {
				others = append(others, fmt.Sprint("d", j))
			}
		}
		f.exchanges = append(f.exchanges, NewExchange(Options{
			Self:  peering.Sender{Name: fmt.Sprint("d", i), Process: "p"},
			Local: func() []Load { return f.load(i) },
			Apply: func(loads []Load, daemons int) { f.applied[i], f.daemons[i] = loads, daemons },
			Publish: func(payload []byte, names ...string) {
				for _, name := range names {
					to := 0
					_, _ = fmt.Sscanf(name, "d%d", &to)
					if f.isLost != nil && f.isLost(i, to) {
						continue
					}
					// Marker, topic, the sender's name and process, IP and UDP headers.
					f.received[to] += len(payload) + 4 + 12 + 8 + 28
					f.exchanges[to].Receive(peering.Sender{Name: fmt.Sprint("d", i), Process: "p"}, payload)
				}
			},
			Collectors: func() []string { return f.collectors }, Daemons: func() []string { return others },
			Now: func() time.Time { return f.now }, Scope: tally.NoopScope,
		}))
	}
	return f
}

func (f *testFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(TickInterval) {
		for _, e := range f.exchanges {
			e.Tick()
		}
	}
}

// Guards against messages that cost more than half of the bounds of the deployments.
func TestBytesReceived(t *testing.T) {
	for daemons, bound := range map[int]int{61: 2000, 300: 3000} {
		f := newTestFleet(daemons)
		f.run(6 * time.Second)
		clear(f.received)
		// Long enough for several reports of each daemon.
		const seconds = 30
		f.run(seconds * time.Second)
		t.Logf("%d daemons: a daemon receives %d B/s, a collector %d B/s", daemons, f.received[5]/seconds, f.received[0]/seconds)
		assert.Assert(t, f.received[5]/seconds < bound, "%d daemons: %d B/s", daemons, f.received[5]/seconds)
		// Half of 40 KB/s; the state of upstreams needs the other half.
		assert.Assert(t, daemons < 300 || f.received[0]/seconds < 20_000, "%d daemons: a collector receives %d B/s", daemons, f.received[0]/seconds)
		assert.Equal(t, f.daemons[5], daemons)
		assert.Equal(t, f.applied[5][0].Throughput(), 3*30_720*float64(daemons))
	}
}

// Guards against daemons that learn of a change after more than about 300 ms, or not at all.
func TestChangesAreKnownWithinSomeHundredMilliseconds(t *testing.T) {
	f := newTestFleet(61)
	f.run(3 * time.Second)
	old := f.load
	f.load = func(i int) []Load {
		l := old(i)
		l[0].Ranks[9].Throughput = 9_728
		return l
	}
	f.run(500 * time.Millisecond)
	for i := range f.applied {
		for _, l := range f.applied[i] {
			if l.Pool == 1 {
				assert.Equal(t, l.Ranks[9].Throughput, 61*9_728.0, "daemon %d", i)
			}
		}
	}
}

// Guards against messages of a fleet that has no load.
func TestIdleFleetIsSilent(t *testing.T) {
	f := newTestFleet(5)
	f.load = func(int) []Load { return nil }
	f.run(time.Second)
	clear(f.received)
	f.run(3 * time.Second)
	for _, n := range f.received {
		assert.Equal(t, n, 0)
	}
}

// Guards against a new collector that reports an idle fleet before it has heard from the
// daemons, and against sums of a former one.
func TestNewCollectorWaitsForReports(t *testing.T) {
	f := newTestFleet(20)
	f.run(3 * time.Second)
	f.collectors = []string{"d7", "d8"}
	for range 40 {
		f.run(TickInterval)
		assert.Equal(t, f.daemons[5], 20)
	}
	f.isLost = func(from, _ int) bool { return from == 7 }
	f.run(time.Second)
	f.applied[5] = nil
	f.run(time.Second)
	assert.Assert(t, f.applied[5] != nil, "the second collector is not heard")
}

// Guards against a collector that receives reports of few daemons only and counts these as all.
func TestPartialSumOfACollectorIsNotUsedByItself(t *testing.T) {
	f := newTestFleet(20)
	f.isLost = func(from, to int) bool { return to == 0 && from != 1 }
	f.run(3 * time.Second)
	assert.Equal(t, f.daemons[0], 20)
	assert.Equal(t, f.daemons[1], 20)
}

// Guards against entries outside the bounds, messages that arrive late, and against one
// faulty entry that costs the others.
func TestFaultyMessages(t *testing.T) {
	payload, err := encode(1, 2, []Load{testLoad(1), testLoad(2)})
	assert.NilError(t, err)
	m, err := decode(payload)
	assert.NilError(t, err)
	assert.DeepEqual(t, *m, message{Number: 1, Daemons: 2, Loads: []Load{testLoad(1), testLoad(2)}})
	for end := range payload {
		_, err := decode(payload[:end])
		assert.Assert(t, err != nil, "cut at %d", end)
	}
	// The demand of the first pool is too large.
	faulty := append([]byte{1, 2, 0x92, 1, 12, 0x91, 7, 0xce, 0xff, 0xff, 0xff, 0xff, 1, 1, 0, 0, 0, 0, 0, 0, 0x90}, 2, scaleOffset, 0x91, 7, 5, 1, 1, 0, 0, 0, 0, 0, 0, 0x90)
	m, err = decode(faulty)
	assert.NilError(t, err)
	assert.DeepEqual(t, m.Loads, []Load{{Pool: 2, Ranks: [RankCount]Rank{7: {Demand: 5, Outstanding: 1, Throughput: 1}}}})
	// An array that claims more than a payload can contain, and other garbage.
	for _, payload := range [][]byte{nil, {0xc1}, {1, 2, 0xdd, 0xff, 0xff, 0xff, 0xff}, {1, 2, 0xc0}, make([]byte, 2000)} {
		m, err := decode(payload)
		assert.Assert(t, err != nil || len(m.Loads) == 0, "%x", payload)
	}

	// A plain service counts requests.
	payload, err = encode(1, 0, []Load{{Pool: 3, Ranks: [RankCount]Rank{7: {Demand: 0.25, Outstanding: 1, Throughput: 2.5}}}})
	assert.NilError(t, err)
	m, err = decode(payload)
	assert.NilError(t, err)
	assert.Assert(t, m.Loads[0].Ranks[7].Throughput == 2.5 && m.Loads[0].Ranks[7].Demand == 0.25 && m.Loads[0].Ranks[7].Outstanding == 1, "%+v", m.Loads)

	f := newTestFleet(3)
	newer, _ := encode(9, 3, []Load{testLoad(1)})
	older, _ := encode(8, 2, []Load{testLoad(1)})
	from := peering.Sender{Name: "d0", Process: "p"}
	f.exchanges[2].Receive(from, newer)
	f.exchanges[2].Receive(from, older)
	assert.Equal(t, f.daemons[2], 3)
	f.exchanges[2].Receive(peering.Sender{Name: "d9", Process: "p"}, older)
	assert.Equal(t, f.daemons[2], 3, "a daemon that is no collector is believed")
}

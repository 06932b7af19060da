package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// testClock is a clock that tests advance by setting now.
type testClock struct{ now time.Time }

func newTestTable(clock *testClock, name string) *Table {
	return NewTable(Daemon{Name: name, Address: name, Domain: "z0", Region: "r0"}, Options{Now: func() time.Time { return clock.now }})
}

func testUpstream(i int) Instance {
	return Instance{
		Name: fmt.Sprintf("u%04d", i), Address: fmt.Sprintf("10.0.0.%d", i), Domain: fmt.Sprintf("z%d", i%3),
		Region: "r0", Role: RoleUpstream, Pool: "p", State: StateLive,
	}
}

func testList(revision int64, instances ...Instance) InstanceList {
	return InstanceList{Revision: revision, Instances: instances}
}

func upstreamNames(upstreams []Upstream) []string {
	out := []string{}
	for _, u := range upstreams {
		out = append(out, u.Name)
	}
	return out
}

// Guards against new work for a leaving instance that the lagging list still
// reports as live, and against excluding its replacement.
func TestListDoesNotRestoreLeaving(t *testing.T) {
	clock := &testClock{time.Unix(1000, 0)}
	table := newTestTable(clock, "d")
	table.ApplyList(testList(1, testUpstream(0), testUpstream(1), testUpstream(3)))
	table.Announce(Announcement{Name: "u0000", Address: testUpstream(0).Address, Role: RoleUpstream})
	table.ApplyNotices(Notice{Seq: 1, Instance: "u0001", DeadlineMs: 30_000, Kind: NoticeReclaim})
	table.ApplyList(testList(2, testUpstream(0), testUpstream(1), testUpstream(3)))
	assert.DeepEqual(t, upstreamNames(table.Upstreams("p")), []string{"u0003"})
	u, ok := table.Upstream("u0001")
	assert.Assert(t, ok && u.Leaving)
	assert.Equal(t, u.LeavingBy, clock.now.Add(30*time.Second))

	table.ApplyNotices(Notice{Seq: 2, Instance: "u0001", Kind: NoticeCancel})
	assert.DeepEqual(t, upstreamNames(table.Upstreams("p")), []string{"u0001", "u0003"})
	replacement := testUpstream(0)
	replacement.Address = "10.9.9.9"
	table.ApplyList(testList(3, replacement, testUpstream(1), testUpstream(3)))
	assert.DeepEqual(t, upstreamNames(table.Upstreams("p")), []string{"u0000", "u0001", "u0003"})
	// An older list, and a newer one that contains the old incarnation again.
	table.ApplyList(testList(2, testUpstream(0)))
	table.ApplyList(testList(4, testUpstream(0), testUpstream(1), testUpstream(3)))
	assert.DeepEqual(t, upstreamNames(table.Upstreams("p")), []string{"u0001", "u0003"})
}

// Guards against a daemon restarted at the same address that remains excluded, or
// starts to leave, because of the announcement of its earlier process.
func TestRestartInPlace(t *testing.T) {
	clock := &testClock{time.Unix(1000, 0)}
	peer := newTestTable(clock, "peer")
	earlier := newTestTable(clock, "d")
	leaving := earlier.Announcement(false)
	peer.Announce(leaving)
	clock.now = clock.now.Add(time.Second)
	restarted := newTestTable(clock, "d")
	assert.Equal(t, len(peer.Daemons()), 0)

	restarted.Import(peer.Export(""))
	assert.Assert(t, !restarted.Self().Leaving)
	peer.Announce(restarted.Announcement(true))
	assert.Equal(t, len(peer.Daemons()), 1)
	peer.Announce(leaving)
	peer.Import(earlier.Export(""))
	assert.Equal(t, len(peer.Daemons()), 1, "a late announcement of the earlier process was applied")

	third := newTestTable(clock, "third")
	third.Announce(leaving)
	third.Import(peer.Export(""))
	assert.Equal(t, len(third.Daemons()), 2)
	peer.Announce(restarted.Announcement(false))
	assert.Equal(t, len(peer.Daemons()), 0)
}

// Guards against a domain notice that is not applied to instances which the
// lagging list adds later, and against one that is applied to replacements.
func TestDomainNotice(t *testing.T) {
	clock := &testClock{time.Unix(1000, 0)}
	table := newTestTable(clock, "d")
	table.ApplyList(testList(1, testUpstream(0), testUpstream(1)))
	table.ApplyNotices(Notice{Seq: 1, Domain: "z0", DeadlineMs: 10_000, Kind: NoticeReclaim})
	table.ApplyList(testList(2, testUpstream(0), testUpstream(1), testUpstream(3)))
	assert.DeepEqual(t, upstreamNames(table.Upstreams("p")), []string{"u0001"})
	assert.Assert(t, table.Self().Leaving, "the notice must apply to this daemon's domain although the list does not contain the daemon yet")
	clock.now = clock.now.Add(11 * time.Second)
	table.ApplyList(testList(3, testUpstream(0), testUpstream(1), testUpstream(3), testUpstream(6)))
	assert.DeepEqual(t, upstreamNames(table.Upstreams("p")), []string{"u0001", "u0006"})
	// A new relay reads all past notices, expired ones included.
	table.ApplyNotices(Notice{Seq: 2, Instance: "u0001", DeadlineMs: 0, Kind: NoticeReclaim})
	assert.DeepEqual(t, upstreamNames(table.Upstreams("p")), []string{"u0001", "u0006"})
}

// Guards against a replacement daemon in a reclaimed failure domain that drains
// immediately because peers exported the expired notice to it with a remaining
// time of one millisecond.
func TestExpiredDomainNoticeIsNotExported(t *testing.T) {
	clock := &testClock{time.Unix(1000, 0)}
	table := newTestTable(clock, "d")
	table.ApplyNotices(Notice{Seq: 1, Domain: "z0", DeadlineMs: 3_000, Kind: NoticeReclaim})
	clock.now = clock.now.Add(4 * time.Second)
	replacement := newTestTable(clock, "replacement")
	replacement.Import(table.Export(""))
	assert.Assert(t, !replacement.Self().Leaving)
}

// Guards against an incomplete list that empties a pool, and against an absent
// instance that is never removed.
func TestAbsentInstanceIsRemovedAfterGrace(t *testing.T) {
	clock := &testClock{time.Unix(1000, 0)}
	table := newTestTable(clock, "d")
	table.ApplyList(testList(1, testUpstream(0), testUpstream(1)))
	table.ApplyList(testList(2))
	clock.now = clock.now.Add(29 * time.Second)
	table.Tick()
	assert.Equal(t, len(table.Upstreams("p")), 2)
	changed := table.Changed()
	clock.now = clock.now.Add(2 * time.Second)
	table.Tick()
	<-changed
	assert.Equal(t, len(table.Upstreams("p")), 0)
}

// Guards against work for an upstream that refuses it, and against excluding an
// upstream after it has recovered.
func TestEvidence(t *testing.T) {
	clock := &testClock{time.Unix(1000, 0)}
	table := newTestTable(clock, "d")
	table.ApplyList(testList(1, testUpstream(0), testUpstream(1)))
	usable := func() int { return len(table.Upstreams("p")) }

	table.Observe("u0000", EvidenceRefused)
	assert.Equal(t, usable(), 1)
	clock.now = clock.now.Add(time.Second)
	assert.Equal(t, usable(), 2)
	table.Observe("u0000", EvidenceRefused)
	clock.now = clock.now.Add(time.Second)
	assert.Equal(t, usable(), 1, "the second ejection must be longer")
	table.Observe("u0000", EvidenceOK)
	assert.Equal(t, usable(), 2)

	table.Observe("u0000", EvidenceCrash)
	assert.Equal(t, usable(), 2, "a single crash may be caused by the request")
	table.Observe("u0000", EvidenceCrash)
	assert.Equal(t, usable(), 1)
	table.Observe("u0000", EvidenceOK)

	table.Observe("u0001", EvidenceDraining)
	table.Observe("u0001", EvidenceOK)
	assert.Equal(t, usable(), 1, "a draining upstream still answers earlier calls")
	table.SetLoad("u0001", Load{Seq: 1, AgeMs: 500})
	assert.Equal(t, usable(), 1, "the report is older than the draining response")
	clock.now = clock.now.Add(time.Second)
	table.SetLoad("u0001", Load{Seq: 2, Running: 7})
	assert.Equal(t, usable(), 2)
	assert.Equal(t, table.Upstreams("p")[1].Load.Running, 7)
	table.SetLoad("u0001", Load{Seq: 1, Running: 9})
	assert.Equal(t, table.Upstreams("p")[1].Load.Running, 7, "an older report must not replace a newer one")
}

// Guards against subsets that are unbounded, unevenly spread over failure domains
// or equal on all daemons, or that change entirely when one upstream leaves.
func TestSubset(t *testing.T) {
	clock := &testClock{time.Unix(1000, 0)}
	var all []Instance
	for i := range 1200 {
		all = append(all, testUpstream(i))
	}
	for i := range 50 {
		remote := testUpstream(2000 + i)
		remote.Region = "r1"
		all = append(all, remote)
	}
	usedBy := map[string]int{}
	for d := range 36 {
		table := newTestTable(clock, fmt.Sprint("d", d))
		table.ApplyList(testList(1, all...))
		domains := map[string]int{}
		before := map[string]bool{}
		for _, u := range table.Upstreams("p") {
			assert.Equal(t, u.Region, "r0")
			domains[u.Domain]++
			before[u.Name] = true
			usedBy[u.Name]++
		}
		assert.Equal(t, len(before), 100)
		assert.Assert(t, domains["z0"] >= 33 && domains["z1"] >= 33 && domains["z2"] >= 33)
		leaving := table.Upstreams("p")[0]
		table.Announce(Announcement{Name: leaving.Name, Address: leaving.Address, Role: RoleUpstream})
		added := 0
		for _, u := range table.Upstreams("p") {
			if !before[u.Name] {
				added++
			}
		}
		assert.Equal(t, added, 1)
	}
	assert.Assert(t, len(usedBy) > 1000, "36 daemons use only %d of 1200 upstreams", len(usedBy))

	small := newTestTable(clock, "d")
	small.ApplyList(testList(1, append(all[1200:], testUpstream(0))...))
	assert.Equal(t, len(small.Upstreams("p")), 51, "a region with too few upstreams must use those of other regions")
}

// Guards against a leaving instance that receives work, and against daemons whose
// views do not converge, when lists and announcements reach them in random order
// and through each other's incremental exports.
func TestSourcesAndExportsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := &testClock{time.Unix(1000, 0)}
		tables := []*Table{newTestTable(clock, "a"), newTestTable(clock, "b")}
		positions := []string{"", ""}
		leaving := map[string]bool{}
		revision := int64(0)
		exchange := func(from int) {
			state := tables[from].Export(positions[from])
			tables[1-from].Import(state)
			positions[from] = state.Position()
		}
		check := func() {
			for i, table := range tables {
				for _, u := range table.Upstreams("p") {
					if leaving[fmt.Sprint(i, u.Name)] {
						rt.Fatalf("table %d returns upstream %s, which is leaving", i, u.Name)
					}
				}
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"list": func(rt *rapid.T) {
				revision++
				lag := rapid.Int64Range(0, 2).Draw(rt, "lag")
				var instances []Instance
				for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 6, rapid.ID).Draw(rt, "instances") {
					instances = append(instances, testUpstream(i))
				}
				tables[rapid.IntRange(0, 1).Draw(rt, "table")].ApplyList(testList(max(1, revision-lag), instances...))
			},
			"announce": func(rt *rapid.T) {
				i, at := rapid.IntRange(0, 5).Draw(rt, "instance"), rapid.IntRange(0, 1).Draw(rt, "table")
				tables[at].Announce(Announcement{Name: testUpstream(i).Name, Address: testUpstream(i).Address, Role: RoleUpstream})
				leaving[fmt.Sprint(at, testUpstream(i).Name)] = true
			},
			"exchange": func(rt *rapid.T) { exchange(rapid.IntRange(0, 1).Draw(rt, "from")) },
			"wait": func(rt *rapid.T) {
				clock.now = clock.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(rt, "seconds")) * time.Second)
				tables[0].Tick()
				tables[1].Tick()
			},
			"": func(*rapid.T) { check() },
		})
		exchange(0)
		exchange(1)
		exchange(0)
		for key := range leaving {
			leaving["0"+key[1:]], leaving["1"+key[1:]] = true, true
		}
		check()
	})
}

// BenchmarkUpstreams measures the lookup that every request performs.
func BenchmarkUpstreams(b *testing.B) {
	for _, load := range []bool{false, true} {
		b.Run(fmt.Sprintf("newLoadEach=%v", load), func(b *testing.B) {
			table := NewTable(Daemon{Name: "d", Region: "r0"}, Options{})
			var all []Instance
			for i := range 12_000 {
				all = append(all, testUpstream(i))
			}
			table.ApplyList(testList(1, all...))
			name := table.Upstreams("p")[0].Name
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if load {
					table.SetLoad(name, Load{Seq: int64(i)})
				}
				if len(table.Upstreams("p")) != 100 {
					b.Fatal("the subset is not full")
				}
			}
		})
	}
}

// BenchmarkAnnounce measures one change of membership with 12000 instances, and
// the memory of a Table of that size.
func BenchmarkAnnounce(b *testing.B) {
	table := NewTable(Daemon{Name: "d", Region: "r0"}, Options{})
	var all []Instance
	for i := range 12_000 {
		all = append(all, testUpstream(i))
	}
	table.ApplyList(testList(1, all...))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	imported := NewTable(Daemon{Name: "e", Region: "r0"}, Options{})
	imported.Import(table.Export(""))
	runtime.GC()
	runtime.ReadMemStats(&after)
	for i := 0; b.Loop(); i++ {
		table.Announce(Announcement{Name: fmt.Sprint("x", i), Address: "x", Role: RoleUpstream})
		table.Upstreams("p")
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "table-MB")
	runtime.KeepAlive(imported)
}

// Guards against routing requests to an engine by the version in the lagging list
// after the engine was ordered to load another version.
func TestReportedVersionTakesPrecedence(t *testing.T) {
	table := NewTable(Daemon{Name: "d"}, Options{})
	table.ApplyList(InstanceList{Revision: 1, Instances: []Instance{{Name: "e", Address: "e:1", Role: RoleUpstream, Pool: "p", Version: "v1"}}})
	for i, step := range []struct{ reported, want string }{{"", "v1"}, {"v2", "v2"}, {"v3", "v3"}} {
		table.SetLoad("e", Load{Version: step.reported, Seq: int64(i)})
		assert.Equal(t, table.Upstreams("p")[0].Version, step.want)
	}
}

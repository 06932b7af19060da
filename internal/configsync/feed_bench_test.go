package configsync

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"rattantide/internal/membership"
)

// idleTime is how long the idle feed is measured.
const idleTime = 10 * time.Second

// BenchmarkFeed measures what the feed costs a daemon. One operation is one
// change, from its commit until the last daemon has it. The idle figures are
// taken before, without any change; the highest are those of a relay.
func BenchmarkFeed(b *testing.B) {
	for _, count := range []int{3, 9, 27, 81} {
		b.Run(fmt.Sprint("daemons=", count), func(b *testing.B) {
			c := newCluster(b)
			for i := range 20 {
				c.put("Pool", fmt.Sprint("p", i), poolValue)
			}
			c.start(count)
			// The first list of some daemons may still be on its way.
			c.put("Pool", "settled", poolValue)
			for _, n := range c.nodes {
				c.await(n, "settled", func() bool { return n.cache.Snapshot().Pools["settled"] != nil })
			}
			time.Sleep(idleTime / 2)
			reset(c)
			storeCalls, cpu := c.store.Calls().Total(), cpuTime()
			time.Sleep(idleTime)
			cpu = cpuTime() - cpu
			idleMean, idleHighest, idleCalls := read(c)
			idleStoreCalls := c.store.Calls().Total() - storeCalls

			reset(c)
			storeCalls = c.store.Calls().Total()
			changes := 0
			b.ResetTimer()
			for b.Loop() {
				changes++
				version := c.put("Pool", fmt.Sprint("p", changes%20), poolValue).Version
				for _, n := range c.nodes {
					c.await(n, "change", func() bool { return n.cache.Snapshot().Revision >= version })
				}
			}
			b.StopTimer()
			mean, highest, calls := read(c)
			b.ReportMetric(idleMean/idleTime.Seconds(), "idle-B/s/daemon")
			b.ReportMetric(idleHighest/idleTime.Seconds(), "idle-B/s/highest")
			b.ReportMetric(cpu.Seconds()*1e6/idleTime.Seconds()/float64(count), "idle-cpu-us/s/daemon")
			b.ReportMetric(idleCalls/idleTime.Seconds(), "idle-calls/s/daemon")
			b.ReportMetric(float64(idleStoreCalls), "idle-store-calls")
			b.ReportMetric(mean/float64(changes), "B/change/daemon")
			b.ReportMetric(highest/float64(changes), "B/change/highest")
			b.ReportMetric(calls/float64(changes), "calls/change/daemon")
			b.ReportMetric(float64(c.store.Calls().Total()-storeCalls)/float64(changes)-1, "store-calls/change")
			b.ReportMetric(float64(c.store.Calls().Watches), "watches")
		})
	}
}

// cpuTime returns the processor time that this process has used, which the
// daemons share with the stand-ins of the platform.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkNotice measures from a reclaim notice until the last daemon gives the
// upstream no new work, with all relays well and with one that hangs.
func BenchmarkNotice(b *testing.B) {
	for _, hung := range []bool{false, true} {
		for _, count := range []int{9, 81} {
			b.Run(fmt.Sprintf("daemons=%d/hungRelay=%v", count, hung), func(b *testing.B) {
				c := newCluster(b)
				c.start(count)
				relay := rankRelays("r", append(c.nodes[0].table.Daemons(), c.nodes[0].self), 2)[0].Name
				for _, n := range c.nodes {
					n.hung.Store(hung && n.self.Name == relay)
					c.await(n, "upstream known", func() bool { return len(n.table.Upstreams("p")) == 1 })
				}
				var longest time.Duration
				for b.Loop() {
					started := time.Now()
					c.platform.notice(membership.Notice{Instance: "u1", DeadlineMs: 600_000, Kind: membership.NoticeReclaim})
					for _, n := range c.nodes {
						c.await(n, "notice", func() bool { return len(n.table.Upstreams("p")) == 0 })
					}
					longest = max(longest, time.Since(started))
					b.StopTimer()
					c.platform.notice(membership.Notice{Instance: "u1", Kind: membership.NoticeCancel})
					for _, n := range c.nodes {
						c.await(n, "cancellation", func() bool { return len(n.table.Upstreams("p")) == 1 })
					}
					b.StartTimer()
				}
				b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
			})
		}
	}
}

func reset(c *cluster) {
	for _, n := range c.nodes {
		n.bytesIn.Store(0)
		n.calls.Store(0)
	}
}

// read returns the mean and highest bytes that a daemon received, and the mean
// number of its calls.
func read(c *cluster) (mean, highest, calls float64) {
	for _, n := range c.nodes {
		in := float64(n.bytesIn.Load())
		mean += in / float64(len(c.nodes))
		highest = max(highest, in)
		calls += float64(n.calls.Load()) / float64(len(c.nodes))
	}
	return mean, highest, calls
}

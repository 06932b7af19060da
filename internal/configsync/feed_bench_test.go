package configsync

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"rattantide/internal/membership"
)

// idleTime is how long the feed is measured without changes.
const idleTime = 10 * time.Second

// BenchmarkFeed measures the cost of the feed per daemon. One operation is one change,
// from its commit until the last daemon has applied it. The idle figures are measured
// beforehand, without any change. The highest figures are those of a relay.
func BenchmarkFeed(b *testing.B) {
	for _, count := range []int{3, 9, 27, 81} {
		b.Run(fmt.Sprint("daemons=", count), func(b *testing.B) {
			c := newCluster(b)
			for i := range 20 {
				c.put("Pool", fmt.Sprint("p", i), poolValue)
			}
			c.start(count)
			// Wait for another change, as the first list of some daemons may still be in
			// progress.
			c.put("Pool", "settled", poolValue)
			for _, n := range c.nodes {
				c.await(n, "settled", func() bool { return n.cache.Snapshot().Pools["settled"] != nil })
			}
			time.Sleep(idleTime / 2)
			resetTraffic(c)
			storeCalls, cpu := c.store.Calls().Total(), cpuTime()
			time.Sleep(idleTime)
			cpu = cpuTime() - cpu
			idleMean, idleHighest, idleCalls := readTraffic(c)
			idleStoreCalls := c.store.Calls().Total() - storeCalls

			resetTraffic(c)
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
			mean, highest, calls := readTraffic(c)
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

// cpuTime returns the processor time used by this process. It includes that of the
// fake platform and the fake store.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkNotice measures the time from a reclaim notice until the last daemon sends
// the upstream no new work, with all relays healthy and with one that hangs.
func BenchmarkNotice(b *testing.B) {
	for _, hung := range []bool{false, true} {
		for _, count := range []int{9, 81} {
			b.Run(fmt.Sprintf("daemons=%d/hungRelay=%v", count, hung), func(b *testing.B) {
				c := newCluster(b)
				c.start(count)
				relay := rankRelays("r", append(c.nodes[0].table.Daemons(), c.nodes[0].self), 2)[0].Name
				for _, n := range c.nodes {
					n.isHung.Store(hung && n.self.Name == relay)
					c.await(n, "the upstream in its table", func() bool { return len(n.table.Upstreams("p")) == 1 })
				}
				var longest time.Duration
				for b.Loop() {
					started := time.Now()
					c.platform.addNotice(membership.Notice{Instance: "u1", DeadlineMs: 600_000, Kind: membership.NoticeReclaim})
					for _, n := range c.nodes {
						c.await(n, "notice", func() bool { return len(n.table.Upstreams("p")) == 0 })
					}
					longest = max(longest, time.Since(started))
					b.StopTimer()
					c.platform.addNotice(membership.Notice{Instance: "u1", Kind: membership.NoticeCancel})
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

// resetTraffic resets the traffic counters of all daemons.
func resetTraffic(c *cluster) {
	for _, n := range c.nodes {
		n.bytesIn.Store(0)
		n.calls.Store(0)
	}
}

// readTraffic returns the mean and the highest number of bytes that a daemon received,
// and the mean number of its calls.
func readTraffic(c *cluster) (mean, highest, calls float64) {
	for _, n := range c.nodes {
		bytesIn := float64(n.bytesIn.Load())
		mean += bytesIn / float64(len(c.nodes))
		highest = max(highest, bytesIn)
		calls += float64(n.calls.Load()) / float64(len(c.nodes))
	}
	return mean, highest, calls
}

package fleetdaemon

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// measuredTime is how long an idle fleet is measured.
const measuredTime = 10 * time.Second

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkFleet measures what daemons spend on each other: from their start until each
// knows all others, and per second without callers. The stand-in of the store is included.
func BenchmarkFleet(b *testing.B) {
	for _, daemons := range []int{30, 100, 300} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			for range b.N {
				measureFleet(b, daemons)
			}
		})
	}
}

func measureFleet(b *testing.B, daemons int) {
	began, startTime := processorTime(b), time.Now()
	s := startDeployment(b, daemons)
	for i := range s.daemons {
		s.waitFor("all daemons", func() bool { return s.isReady(i) && len(s.daemons[i].peers.Peers()) == daemons-1 })
	}
	settled, settledTime := processorTime(b), time.Now()
	calls := s.store.Calls("GET")
	time.Sleep(measuredTime)
	perDaemon := 1 / float64(daemons)
	b.ReportMetric(settledTime.Sub(startTime).Seconds(), "s-to-settle")
	b.ReportMetric(1000*(settled-began).Seconds()*perDaemon, "start-cpu-ms/daemon")
	b.ReportMetric(1000*(processorTime(b)-settled).Seconds()*perDaemon/measuredTime.Seconds(), "cpu-ms/s/daemon")
	b.ReportMetric(float64(s.store.Calls("GET")-calls)/measuredTime.Seconds(), "store-reads/s")
	b.ReportMetric(float64(calls)*perDaemon, "start-reads/daemon")
	for _, stop := range s.stops {
		stop()
	}
	for i := range s.daemons {
		s.stopDaemon(i)
	}
}

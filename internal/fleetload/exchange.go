package fleetload

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"rattantide/internal/peering"
)

const (
	// TickInterval is the interval at which Tick is to be called.
	TickInterval = 50 * time.Millisecond
	// minReportInterval is the time between two reports of a daemon in fleets of up to
	// smallFleet daemons; it is reportIntervalPerDaemon longer for each further one. A
	// collector of 300 daemons then receives about 20 KB/s.
	minReportInterval       = 250 * time.Millisecond
	smallFleet              = 61
	reportIntervalPerDaemon = 10 * time.Millisecond
	// minSumInterval and sumIntervalPerDaemon determine the time between two sums of a
	// collector.
	minSumInterval       = 200 * time.Millisecond
	sumIntervalPerDaemon = 1500 * time.Microsecond
	// secondSumInterval is the number of sum intervals between two sums of a collector that
	// receives those of the preferred one. Daemons that do not receive these still get them.
	secondSumInterval = 4
	// reportExpiry is the number of report intervals after which a daemon no longer
	// counts in the sum.
	reportExpiry = 3
	// collectorExpiry is the number of sum intervals after which the sums of the next
	// collector are used.
	collectorExpiry = 3
	// maxReports bounds the daemons whose reports a collector keeps.
	maxReports = 4096
)

// Exchange sends the load of this daemon to the collectors, and sums the loads of all
// daemons if it is one of them. It is safe for concurrent use.
type Exchange struct {
	opts Options

	mu         sync.Mutex
	number     uint32
	reportedAt time.Time
	summedAt   time.Time
	// collectsSince is when this daemon became a collector; zero if it is none.
	collectsSince time.Time
	// isSumPartial reports whether this collector's latest sum covers less than half of
	// the daemons, so that it is cut off from others.
	isSumPartial bool
	// isIdle and isSumIdle report whether the latest report and sum were idle. Further idle
	// ones are not sent.
	isIdle, isSumIdle bool
	reports           map[string]*report
	sources           map[string]*source

	bad, sums tally.Counter
}

// report is the latest report of a daemon.
type report struct {
	process    string
	number     uint32
	receivedAt time.Time
	loads      []Load
}

// source is a collector whose sums were received.
type source struct {
	process    string
	number     uint32
	receivedAt time.Time
}

// NewExchange returns an Exchange.
func NewExchange(opts Options) *Exchange {
	scope := opts.Scope.SubScope("fleetload")
	return &Exchange{
		opts: opts, reports: map[string]*report{}, sources: map[string]*source{},
		bad: scope.Counter("bad_messages"), sums: scope.Counter("sums_applied"),
	}
}

// reportInterval returns the time between two reports of a daemon.
func reportInterval(daemons int) time.Duration {
	return minReportInterval + time.Duration(max(0, daemons-smallFleet))*reportIntervalPerDaemon
}

// sumInterval returns the time between two sums of a collector.
func sumInterval(daemons int) time.Duration {
	return max(minSumInterval, time.Duration(daemons)*sumIntervalPerDaemon)
}

// Tick sends the report of this daemon and the sum of a collector if they are due.
func (e *Exchange) Tick() {
	now, collectors, daemons := e.opts.Now(), e.opts.Collectors(), e.opts.Daemons()
	e.sendReport(now, collectors, len(daemons)+1)
	sum, count := e.sumIfDue(now, collectors, len(daemons)+1)
	if count == 0 {
		return
	}
	if payload, ok := e.encode(uint32(count), sum); ok && len(daemons) > 0 {
		e.opts.Publish(payload, daemons...)
	}
	if e.usesOwnSum(collectors, len(daemons)+1, now) {
		e.sums.Inc(1)
		e.opts.Apply(sum, count)
	}
}

// usesOwnSum reports whether this collector uses its own sum: not if it receives the
// sums of a preferred collector, as all daemons use those.
func (e *Exchange) usesOwnSum(collectors []string, daemons int, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	rank := max(0, slices.Index(collectors, e.opts.Self.Name))
	return !e.receivesFromAny(collectors[:rank], sumInterval(daemons), now)
}

// sendReport sends the load of this daemon to the collectors if it is due.
func (e *Exchange) sendReport(now time.Time, collectors []string, daemons int) {
	e.mu.Lock()
	isDue := now.Sub(e.reportedAt) >= reportInterval(daemons)
	if isDue {
		e.reportedAt = now
	}
	e.mu.Unlock()
	if !isDue || len(collectors) == 0 {
		return
	}
	loads := e.opts.Local()
	e.mu.Lock()
	wasIdle := e.isIdle
	e.isIdle = !slices.ContainsFunc(loads, func(l Load) bool { return !l.IsIdle() })
	if wasIdle && e.isIdle {
		e.mu.Unlock()
		return
	}
	e.reports[e.opts.Self.Name] = &report{process: e.opts.Self.Process, receivedAt: now, loads: loads}
	e.mu.Unlock()
	payload, ok := e.encode(0, loads)
	others := slices.DeleteFunc(slices.Clone(collectors), func(name string) bool { return name == e.opts.Self.Name })
	if ok && len(others) > 0 {
		e.opts.Publish(payload, others...)
	}
}

// encode encodes a message with the next number.
func (e *Exchange) encode(daemons uint32, loads []Load) ([]byte, bool) {
	e.mu.Lock()
	e.number++
	number := e.number
	e.mu.Unlock()
	payload, err := encode(number, daemons, loads)
	return payload, err == nil
}

// sumIfDue returns the sum of the reports and the number of daemons in it if this daemon is
// a collector and a sum is due. A new collector first waits until it has heard from all.
func (e *Exchange) sumIfDue(now time.Time, collectors []string, daemons int) ([]Load, int) {
	rank := slices.Index(collectors, e.opts.Self.Name)
	e.mu.Lock()
	defer e.mu.Unlock()
	if rank < 0 {
		if !e.collectsSince.IsZero() {
			e.collectsSince = time.Time{}
			clear(e.reports)
		}
		return nil, 0
	}
	if e.collectsSince.IsZero() {
		e.collectsSince = now
	}
	interval := sumInterval(daemons)
	if e.receivesFromAny(collectors[:rank], interval, now) {
		interval *= secondSumInterval
	}
	if now.Sub(e.collectsSince) < 2*reportInterval(daemons) || now.Sub(e.summedAt) < interval {
		return nil, 0
	}
	e.summedAt = now
	sum, count := e.sumReports(now, reportExpiry*reportInterval(daemons))
	// The daemons then use the sums of the next collector. Where most daemons are idle, each
	// decides by its own figures.
	if e.isSumPartial = 2*count < daemons; e.isSumPartial {
		return nil, 0
	}
	wasIdle := e.isSumIdle
	e.isSumIdle = !slices.ContainsFunc(sum, func(l Load) bool { return !l.IsIdle() })
	if wasIdle && e.isSumIdle {
		return nil, 0
	}
	return sum, count
}

// sumReports returns the sum of the reports and their number, and removes those that are older
// than expiry. e.mu must be held.
func (e *Exchange) sumReports(now time.Time, expiry time.Duration) ([]Load, int) {
	var sum []Load
	count := 0
	for _, name := range slices.Sorted(maps.Keys(e.reports)) {
		r := e.reports[name]
		if now.Sub(r.receivedAt) > expiry {
			delete(e.reports, name)
			continue
		}
		count++
		for i := range r.loads {
			l := &r.loads[i]
			at := slices.IndexFunc(sum, func(s Load) bool { return s.Pool == l.Pool })
			if at < 0 {
				sum, at = append(sum, Load{Pool: l.Pool}), len(sum)
			}
			sum[at].add(l)
		}
	}
	return sum, count
}

// Receive handles the message of another daemon.
func (e *Exchange) Receive(from peering.Sender, payload []byte) {
	m, err := decode(payload)
	if err != nil || from.Name == e.opts.Self.Name {
		e.bad.Inc(1)
		return
	}
	now := e.opts.Now()
	if m.Daemons == 0 {
		e.recordReport(from, m.Number, m.Loads, now)
		return
	}
	if e.isNewest(from, m.Number, now) {
		e.sums.Inc(1)
		e.opts.Apply(m.Loads, int(min(m.Daemons, maxReports)))
	}
}

// recordReport stores the report of a daemon unless it is older than the stored one.
func (e *Exchange) recordReport(from peering.Sender, number uint32, loads []Load, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.reports[from.Name]
	if old == nil && len(e.reports) >= maxReports || old != nil && old.process == from.Process && number <= old.number {
		return
	}
	e.reports[from.Name] = &report{process: from.Process, number: number, receivedAt: now, loads: loads}
}

// isNewest reports whether the sum of a collector is to be used: that of the preferred one,
// or of another one while the preferred one is silent. A collector prefers its own sums to
// those of the next ones unless its own are partial.
func (e *Exchange) isNewest(from peering.Sender, number uint32, now time.Time) bool {
	collectors := e.opts.Collectors()
	rank := slices.Index(collectors, from.Name)
	if rank < 0 {
		return false
	}
	interval := sumInterval(len(e.opts.Daemons()) + 1)
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sources[from.Name]
	if s != nil && s.process == from.Process && number <= s.number {
		return false
	}
	if s == nil {
		if len(e.sources) >= maxReports {
			clear(e.sources)
		}
		s = &source{}
		e.sources[from.Name] = s
	}
	s.process, s.number, s.receivedAt = from.Process, number, now
	if own := slices.Index(collectors, e.opts.Self.Name); own >= 0 && own < rank && !e.isSumPartial {
		return false
	}
	return !e.receivesFromAny(collectors[:rank], interval, now)
}

// receivesFromAny reports whether sums of any of the named collectors arrive. e.mu must be held.
func (e *Exchange) receivesFromAny(collectors []string, interval time.Duration, now time.Time) bool {
	return slices.ContainsFunc(collectors, func(name string) bool {
		s := e.sources[name]
		return s != nil && now.Sub(s.receivedAt) < collectorExpiry*interval
	})
}

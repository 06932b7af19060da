package membership

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

// Table is a daemon's view of the other daemons and of the upstreams. Its sources
// are, in descending order of precedence, announcements and reclaim notices,
// evidence from calls, and the instance list. It is safe for concurrent use.
// Upstreams takes the lock only after a change.
type Table struct {
	self    Daemon
	options Options
	// epoch distinguishes positions in this Table from those in another one.
	epoch string
	view  atomic.Pointer[view]

	mu sync.Mutex
	// seq is the change counter.
	seq           int64
	listRevision  int64
	listAppliedAt time.Time
	records       map[incarnation]*record
	domainNotices map[string]noticeState
	// pendingNotices holds notices for instances that are not known yet, by name.
	pendingNotices map[string]noticeState
	changed        chan struct{}
}

// NewTable returns a Table that contains only self.
func NewTable(self Daemon, options Options) *Table {
	options.setDefaults()
	t := &Table{
		self: self, options: options, epoch: uuid.NewString(),
		records:        map[incarnation]*record{},
		domainNotices:  map[string]noticeState{},
		pendingNotices: map[string]noticeState{},
		changed:        make(chan struct{}),
	}
	// A notice for this daemon's failure domain must take effect even if the
	// lagging list does not contain the daemon yet.
	selfRecord := t.addRecord(Instance{
		Name: self.Name, Address: self.Address, Domain: self.Domain, Region: self.Region, Role: RoleDaemon, State: StateLive,
	}, options.Now())
	// A leaving announcement of an earlier process with the same name and address
	// must not apply to this one.
	selfRecord.generation = options.Now().UnixMilli()
	t.view.Store(newView(t.records, t.self))
	return t
}

// Self returns the daemon that the Table belongs to. Leaving and LeavingBy are
// updated from the Table's sources.
func (t *Table) Self() Daemon { return t.view.Load().self }

// Announcement returns an announcement by this daemon: that it is live, or that
// it is leaving.
func (t *Table) Announcement(live bool) Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Announcement{
		Name: t.self.Name, Address: t.self.Address, Domain: t.self.Domain, Region: t.self.Region, Role: RoleDaemon,
		Generation: t.records[incarnation{t.self.Name, t.self.Address}].generation, Live: live,
	}
}

// Upstreams returns the subset of a pool's upstreams that this daemon sends new
// work to. It excludes upstreams that are leaving, draining or ejected, and has
// at most Options.SubsetSize elements. The slice is shared between callers and
// must not be modified.
func (t *Table) Upstreams(pool string) []Upstream {
	p := t.view.Load().pools[pool]
	if p == nil {
		return nil
	}
	now := t.options.Now()
	if s := p.subset.Load(); s != nil && s.isValid(now) {
		return s.upstreams
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := p.subset.Load()
	if s == nil || !s.isValid(now) {
		s = newSubset(p.records, s, t.self.Region, t.options.SubsetSize, now)
		p.subset.Store(s)
	}
	return s.upstreams
}

// AllUpstreams returns all known upstreams of a pool, including those that are
// leaving or ejected.
func (t *Table) AllUpstreams(pool string) []Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.view.Load().pools[pool]
	if p == nil {
		return nil
	}
	out := make([]Upstream, 0, len(p.records))
	for _, r := range p.records {
		out = append(out, r.upstream())
	}
	return out
}

// Upstream returns an upstream by name, even if it is leaving or ejected, or false
// if the name is unknown.
func (t *Table) Upstream(name string) (Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.view.Load().upstreams[name]
	if r == nil {
		return Upstream{}, false
	}
	return r.upstream(), true
}

// Pools returns the sorted names of all pools with known upstreams. The slice is
// shared between callers and must not be modified.
func (t *Table) Pools() []string { return t.view.Load().poolNames }

// Daemons returns the other daemons that are live and not leaving, ordered by
// name. The slice is shared between callers and must not be modified.
func (t *Table) Daemons() []Daemon { return t.view.Load().daemons }

// AllDaemons returns all other known daemons, including those that are leaving,
// ordered by name. The slice is shared between callers and must not be modified.
func (t *Table) AllDaemons() []Daemon { return t.view.Load().allDaemons }

// Changed returns a channel that is closed at the next change of membership. Load
// reports and evidence do not close it. To miss no change, obtain the channel
// before reading the Table.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Observe records evidence from a call to an upstream. Evidence about an unknown
// upstream is ignored.
func (t *Table) Observe(upstream string, evidence Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.view.Load()
	r := v.upstreams[upstream]
	if r == nil {
		return
	}
	t.options.Scope.Tagged(map[string]string{"evidence": evidence.String()}).Counter("upstream_evidence").Inc(1)
	now := t.options.Now()
	before := r.blockedUntil()
	switch evidence {
	case EvidenceOK:
		// A draining upstream still answers calls that it accepted earlier, so this
		// does not end its draining state.
		r.ejections, r.ejectedUntil, r.crashedAt = 0, time.Time{}, time.Time{}
	case EvidenceRefused:
		t.eject(r, now)
	case EvidenceDraining:
		r.drainedAt, r.drainedUntil = now, now.Add(t.options.DrainHold)
	case EvidenceCrash:
		// A single crash may have been caused by the request itself.
		if !r.crashedAt.IsZero() && now.Sub(r.crashedAt) <= t.options.EvidenceWindow {
			t.eject(r, now)
		}
		r.crashedAt = now
	}
	if !before.Equal(r.blockedUntil()) {
		v.pools[r.Pool].invalidate()
	}
}

func (t *Table) eject(r *record, now time.Time) {
	if now.Before(r.ejectedUntil) {
		return
	}
	d := min(t.options.BaseEjection<<min(r.ejections, 16), t.options.MaxEjection)
	r.ejections++
	r.ejectedUntil = now.Add(d)
}

// SetLoad stores a load report. A report that is older than the stored one, or
// that is from an unknown upstream, is ignored.
func (t *Table) SetLoad(upstream string, load Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.view.Load()
	r := v.upstreams[upstream]
	if r == nil {
		return
	}
	now := t.options.Now()
	if load.ReceivedAt.IsZero() {
		load.ReceivedAt = now
	}
	// A restarted upstream numbers its reports from the start again, so a lower
	// number is accepted if the report arrived EvidenceWindow or more after the
	// stored one.
	if r.load != nil && load.Seq < r.load.Seq && load.ReceivedAt.Sub(r.load.ReceivedAt) < t.options.EvidenceWindow {
		return
	}
	r.load = &load
	measuredAt := load.ReceivedAt.Add(-time.Duration(load.AgeMs) * time.Millisecond)
	if load.Draining {
		r.drainedAt, r.drainedUntil = now, now.Add(t.options.DrainHold)
		v.pools[r.Pool].invalidate()
		return
	}
	if now.Before(r.drainedUntil) && measuredAt.After(r.drainedAt) {
		r.drainedUntil = time.Time{}
		v.pools[r.Pool].invalidate()
		return
	}
	v.pools[r.Pool].markLoadsStale()
}

// publish replaces the view of readers by one built from the current records and
// signals the change. t.mu must be held.
func (t *Table) publish() {
	t.view.Store(newView(t.records, t.self))
	close(t.changed)
	t.changed = make(chan struct{})
	t.options.Scope.Gauge("membership_records").Update(float64(len(t.records)))
}

// nextSeq increments the change counter and returns it. t.mu must be held.
func (t *Table) nextSeq() int64 {
	t.seq++
	return t.seq
}

// Position returns the current position, which consists of the epoch and the change
// counter, for an Export of the changes after it.
func (t *Table) Position() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.position()
}

func (t *Table) position() string { return t.epoch + "/" + strconv.FormatInt(t.seq, 10) }

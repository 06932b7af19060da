package membership

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

// Table is a daemon's view of the other daemons and of the upstreams. The
// sources in decreasing order of strength are announcements and reclaim
// notices, evidence from calls, and the instance list. It is safe for
// concurrent use; reads take no lock unless something changed before.
type Table struct {
	self    Daemon
	options Options
	epoch   string
	view    atomic.Pointer[view]

	mu           sync.Mutex
	seq          int64
	listRevision int64
	listAt       time.Time
	records      map[incarnation]*record
	domains      map[string]domainNotice
	// pending holds notices for instances that are not known yet.
	pending map[string]domainNotice
	changed chan struct{}
}

// NewTable returns a Table that knows only self.
func NewTable(self Daemon, options Options) *Table {
	options.setDefaults()
	t := &Table{
		self: self, options: options, epoch: uuid.NewString(),
		records: map[incarnation]*record{},
		domains: map[string]domainNotice{},
		pending: map[string]domainNotice{},
		changed: make(chan struct{}),
	}
	// A notice for the own failure domain must reach a daemon that the lagging
	// list does not name yet.
	own := t.add(Instance{
		Name: self.Name, Address: self.Address, Domain: self.Domain, Region: self.Region, Role: RoleDaemon, State: StateLive,
	}, options.Now())
	// An announcement of an earlier process under the own name and address must
	// not make this one leave.
	own.generation = options.Now().UnixMilli()
	t.view.Store(newView(t.records, t.self))
	return t
}

// Self returns the daemon that the Table belongs to, with Leaving set once a
// notice or the daemon itself said so.
func (t *Table) Self() Daemon { return t.view.Load().self }

// Announcement returns this daemon's own announcement.
func (t *Table) Announcement(live bool) Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Announcement{
		Name: t.self.Name, Address: t.self.Address, Domain: t.self.Domain, Region: t.self.Region, Role: RoleDaemon,
		Generation: t.records[incarnation{t.self.Name, t.self.Address}].generation, Live: live,
	}
}

// Upstreams returns the subset of a pool's upstreams that this daemon sends
// new work to: live, not leaving and not ejected. It is bounded by SubsetSize.
// The slice is shared between callers and must not be changed.
func (t *Table) Upstreams(pool string) []Upstream {
	p := t.view.Load().pools[pool]
	if p == nil {
		return nil
	}
	now := t.options.Now()
	if s := p.subset.Load(); s != nil && s.holds(now) {
		return s.upstreams
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := p.subset.Load()
	if s == nil || !s.holds(now) {
		s = newSubset(p.records, s, t.self.Region, t.options.SubsetSize, now)
		p.subset.Store(s)
	}
	return s.upstreams
}

// AllUpstreams returns all upstreams of a pool that are known, leaving and
// ejected ones too.
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

// Upstream returns an upstream by name, also one that is leaving.
func (t *Table) Upstream(name string) (Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.view.Load().upstreams[name]
	if r == nil {
		return Upstream{}, false
	}
	return r.upstream(), true
}

// Pools returns the names of all pools with known upstreams.
func (t *Table) Pools() []string { return t.view.Load().poolNames }

// Daemons returns the other daemons that are live and not leaving. The slice
// is shared between callers and must not be changed.
func (t *Table) Daemons() []Daemon { return t.view.Load().daemons }

// AllDaemons returns all other daemons that are known, leaving ones too. The
// slice is shared between callers and must not be changed.
func (t *Table) AllDaemons() []Daemon { return t.view.Load().allDaemons }

// Changed returns a channel that is closed at the next change of membership.
// Loads and evidence do not count. Take it before reading, so that no change is
// missed in between.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Observe takes over what a call to an upstream showed. An unknown upstream is
// ignored.
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
		// A draining upstream still answers its old calls.
		r.failures, r.ejectedUntil, r.crashedAt = 0, time.Time{}, time.Time{}
	case EvidenceRefused:
		t.eject(r, now)
	case EvidenceDraining:
		r.drainedAt, r.drainedUntil = now, now.Add(t.options.DrainHold)
	case EvidenceCrash:
		// One crash may be the fault of the request that saw it.
		if !r.crashedAt.IsZero() && now.Sub(r.crashedAt) <= t.options.EvidenceWindow {
			t.eject(r, now)
		}
		r.crashedAt = now
	}
	if !before.Equal(r.blockedUntil()) {
		v.pools[r.Pool].expire()
	}
}

func (t *Table) eject(r *record, now time.Time) {
	if now.Before(r.ejectedUntil) {
		return
	}
	d := min(t.options.EjectFor<<min(r.failures, 16), t.options.EjectMax)
	r.failures++
	r.ejectedUntil = now.Add(d)
}

// SetLoad takes over a load report. An older report than the one held, and one
// of an unknown upstream, is ignored.
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
	// A restarted upstream counts from the start again, so a lower number is
	// accepted from a report that arrived later by the hold.
	if r.load != nil && load.Seq < r.load.Seq && load.ReceivedAt.Sub(r.load.ReceivedAt) < t.options.EvidenceWindow {
		return
	}
	r.load = &load
	made := load.ReceivedAt.Add(-time.Duration(load.AgeMs) * time.Millisecond)
	if load.Draining {
		r.drainedAt, r.drainedUntil = now, now.Add(t.options.DrainHold)
		v.pools[r.Pool].expire()
		return
	}
	if now.Before(r.drainedUntil) && made.After(r.drainedAt) {
		r.drainedUntil = time.Time{}
		v.pools[r.Pool].expire()
		return
	}
	v.pools[r.Pool].touch()
}

// publish makes the records the view of readers. The lock is held.
func (t *Table) publish() {
	t.view.Store(newView(t.records, t.self))
	close(t.changed)
	t.changed = make(chan struct{})
	t.options.Scope.Gauge("membership_records").Update(float64(len(t.records)))
}

// next returns the next value of the change counter. The lock is held.
func (t *Table) next() int64 {
	t.seq++
	return t.seq
}

// Position returns the epoch and the change counter, for an export of what
// changes after it.
func (t *Table) Position() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.position()
}

func (t *Table) position() string { return t.epoch + "/" + strconv.FormatInt(t.seq, 10) }

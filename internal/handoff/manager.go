package handoff

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"rattantide/internal/journal"
)

// Manager keeps backup copies of this daemon's records, is a backup for other
// daemons, and moves records between daemons. All methods are safe for
// concurrent use.
type Manager struct {
	options Options
	self    Address
	metrics *metrics
	backups *backups
	pulse   *pulse
	worker  Worker
	locates singleflight.Group
	// queue holds the records whose backup is to be brought up to date.
	queue *queue

	// paused counts records that are being handed over; holds has a channel for
	// each, which is closed when it is known who the holder is.
	paused atomic.Int64
	holds  sync.Map
	// gate is not nil while it is verified, after a freeze, that this daemon
	// still holds its records. It is closed afterwards.
	gate atomic.Pointer[chan struct{}]

	mu      sync.Mutex
	tracked map[string]*tracked
	freezes int

	// entry is held for reading while a record or a copy comes in, so that the
	// handoff misses none that was let in before leaving was set.
	entry   sync.RWMutex
	leaving bool
}

// New returns a Manager. Bind must be called before it is used, and Run starts
// its work.
func New(options Options) *Manager {
	options = options.withDefaults()
	return &Manager{
		options: options,
		self:    Address{Name: options.Self.Name, Address: options.Self.Address},
		metrics: newMetrics(options.Scope),
		backups: &backups{journal: options.Journal, retain: options.Retain, entries: map[string]*backup{}},
		pulse:   newPulse(time.Now, options.FreezeBound),
		queue:   newQueue(),
		tracked: map[string]*tracked{},
	}
}

// Bind sets the worker that runs the records which are taken over.
func (m *Manager) Bind(worker Worker) { m.worker = worker }

// Run keeps copies up to date and watches for freezes and for holders that are
// gone, until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var group sync.WaitGroup
	for range m.options.Parallel {
		group.Go(func() { m.syncLoop(ctx) })
	}
	group.Go(func() { m.watchMembers(ctx) })
	beat := time.NewTicker(m.options.FreezeBound / 5)
	defer beat.Stop()
	expire := time.NewTicker(time.Second)
	defer expire.Stop()
	for {
		select {
		case <-beat.C:
			m.beat()
		case now := <-expire.C:
			m.backups.expire(now)
			m.forgetEnded()
		case <-ctx.Done():
			m.queue.close()
			group.Wait()
			return
		}
	}
}

// watchMembers reacts to daemons that left: copies that were kept there go
// elsewhere, and records that they held are taken over.
func (m *Manager) watchMembers(ctx context.Context) {
	for {
		changed := m.options.Members.Changed()
		m.replaceBackups()
		m.adoptOrphans(ctx)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// admit reports whether records and copies may still come to this daemon. If so,
// m.entry.RUnlock must be called when the record or copy is in its place.
func (m *Manager) admit() bool {
	m.entry.RLock()
	if m.leaving {
		m.entry.RUnlock()
		return false
	}
	return true
}

// beginLeaving lets nothing more in.
func (m *Manager) beginLeaving() {
	m.entry.Lock()
	defer m.entry.Unlock()
	m.leaving = true
}

// call calls a peer within the call timeout.
func (m *Manager) call(ctx context.Context, address, suffix string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, m.options.CallTimeout)
	defer cancel()
	return m.options.Peers.Call(ctx, http.MethodPost, address, path+suffix, in, out)
}

// Accepted implements server.Handoff.
func (m *Manager) Accepted(rec *journal.Record) { m.track(rec) }

// Attempted implements server.Handoff.
func (m *Manager) Attempted(rec *journal.Record) { m.touch(rec) }

// Finished implements server.Handoff.
func (m *Manager) Finished(rec *journal.Record) { m.touch(rec) }

func (m *Manager) track(rec *journal.Record) *tracked {
	m.mu.Lock()
	t := m.tracked[rec.ID]
	if t == nil || t.rec != rec {
		t = &tracked{rec: rec}
		m.tracked[rec.ID] = t
	}
	m.mu.Unlock()
	m.queue.add(rec.ID)
	return t
}

func (m *Manager) touch(rec *journal.Record) {
	m.mu.Lock()
	t := m.tracked[rec.ID]
	m.mu.Unlock()
	if t != nil && t.rec == rec {
		m.queue.add(rec.ID)
	}
}

func (m *Manager) trackedBy(id string) *tracked {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracked[id]
}

func (m *Manager) forget(t *tracked) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tracked[t.rec.ID] == t {
		delete(m.tracked, t.rec.ID)
	}
}

// forgetEnded forgets records that the journal no longer keeps.
func (m *Manager) forgetEnded() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, t := range m.tracked {
		if m.options.Journal.Get(id) != t.rec {
			delete(m.tracked, id)
		}
	}
}

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

// Manager maintains backup copies of this daemon's records, stores copies for
// other daemons, and moves records between daemons. All methods are safe for
// concurrent use.
type Manager struct {
	options        Options
	self           Address
	metrics        *metrics
	backups        *backups
	freezeDetector *freezeDetector
	worker         Worker
	locateGroup    singleflight.Group
	// queue holds the identifiers of records whose backup must be updated.
	queue *queue

	// handoverCount is the number of records that are being handed over.
	// handoverDone maps the identifier of each to a channel that is closed once
	// its holder is decided.
	handoverCount atomic.Int64
	handoverDone  sync.Map
	// verifyGate is set while, after a freeze, this daemon verifies that it
	// still holds its records. The channel is closed afterwards.
	verifyGate atomic.Pointer[chan struct{}]

	mu sync.Mutex
	// tracked holds the records whose backup this daemon maintains, by identifier.
	tracked map[string]*trackedRecord
	// freezeCount is the number of freezes detected so far.
	freezeCount int

	// admitMu is read-locked while a record or a copy is being admitted, so
	// that a handoff includes everything that was admitted before leaving was
	// set.
	admitMu sync.RWMutex
	leaving bool
}

// New returns a Manager. SetWorker must be called before it is used; Run starts
// its background work.
func New(options Options) *Manager {
	options = options.withDefaults()
	return &Manager{
		options:        options,
		self:           Address{Name: options.Self.Name, Address: options.Self.Address},
		metrics:        newMetrics(options.Scope),
		backups:        &backups{journal: options.Journal, pointerRetention: options.PointerRetention, entries: map[string]*backupEntry{}},
		freezeDetector: newFreezeDetector(time.Now, options.FreezeThreshold),
		queue:          newQueue(),
		tracked:        map[string]*trackedRecord{},
	}
}

// SetWorker sets the worker that runs imported records.
func (m *Manager) SetWorker(worker Worker) { m.worker = worker }

// Run updates copies, detects freezes and takes over records of daemons that
// are gone, until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var group sync.WaitGroup
	for range m.options.Concurrency {
		group.Go(func() { m.syncLoop(ctx) })
	}
	group.Go(func() { m.watchMembers(ctx) })
	freezeTicker := time.NewTicker(m.options.FreezeThreshold / 5)
	defer freezeTicker.Stop()
	expireTicker := time.NewTicker(time.Second)
	defer expireTicker.Stop()
	for {
		select {
		case <-freezeTicker.C:
			m.checkFreeze()
		case now := <-expireTicker.C:
			m.backups.expire(now)
			m.untrackRemoved()
		case <-ctx.Done():
			m.queue.close()
			group.Wait()
			return
		}
	}
}

// watchMembers reacts to changes of the membership: copies stored at daemons
// that are gone or leaving are stored at others, and records held by daemons
// that are gone are taken over.
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

// tryAdmit reports whether this daemon still accepts records and copies. If it
// returns true, the caller must call m.admitMu.RUnlock once the record or copy
// is stored.
func (m *Manager) tryAdmit() bool {
	m.admitMu.RLock()
	if m.leaving {
		m.admitMu.RUnlock()
		return false
	}
	return true
}

// stopAdmitting makes this daemon refuse further records and copies.
func (m *Manager) stopAdmitting() {
	m.admitMu.Lock()
	defer m.admitMu.Unlock()
	m.leaving = true
}

// call posts a request to a peer, bounded by CallTimeout.
func (m *Manager) call(ctx context.Context, address, suffix string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, m.options.CallTimeout)
	defer cancel()
	return m.options.Peers.Call(ctx, http.MethodPost, address, recordsPath+suffix, in, out)
}

// OnAccepted implements server.Handoff.
func (m *Manager) OnAccepted(rec *journal.Record) { m.track(rec) }

// OnAttempted implements server.Handoff.
func (m *Manager) OnAttempted(rec *journal.Record) { m.markChanged(rec) }

// OnFinished implements server.Handoff.
func (m *Manager) OnFinished(rec *journal.Record) { m.markChanged(rec) }

func (m *Manager) track(rec *journal.Record) *trackedRecord {
	m.mu.Lock()
	t := m.tracked[rec.ID]
	if t == nil || t.rec != rec {
		t = &trackedRecord{rec: rec}
		m.tracked[rec.ID] = t
	}
	m.mu.Unlock()
	m.queue.add(rec.ID)
	return t
}

func (m *Manager) markChanged(rec *journal.Record) {
	m.mu.Lock()
	t := m.tracked[rec.ID]
	m.mu.Unlock()
	if t != nil && t.rec == rec {
		m.queue.add(rec.ID)
	}
}

func (m *Manager) trackedRecord(id string) *trackedRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracked[id]
}

func (m *Manager) untrack(t *trackedRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tracked[t.rec.ID] == t {
		delete(m.tracked, t.rec.ID)
	}
}

// untrackRemoved stops tracking records that are no longer in the journal.
func (m *Manager) untrackRemoved() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, t := range m.tracked {
		if m.options.Journal.Get(id) != t.rec {
			delete(m.tracked, id)
		}
	}
}

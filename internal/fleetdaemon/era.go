package fleetdaemon

import (
	"sync"
	"time"

	"rattantide/internal/objectclient"
	"rattantide/internal/peering"
)

// eraTracker knows since when the present era of the store is known to some daemon. It is
// safe for concurrent use.
type eraTracker struct {
	eras *objectclient.Eras
	// now returns the true time.
	now func() time.Time
	// onRise is called when the era has risen.
	onRise func()

	mu    sync.Mutex
	era   int64
	since time.Time
}

// current returns the present era and the true time since which it is known.
func (t *eraTracker) current() (era int64, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	return t.era, t.since
}

// refresh takes the era from eras. t.mu must be held.
func (t *eraTracker) refresh() {
	era := t.eras.Current()
	hasRisen := era > t.era
	if !hasRisen && !t.since.IsZero() {
		return
	}
	t.era, t.since = era, t.now()
	if hasRisen {
		t.onRise()
	}
}

// knownSince returns the true time since which the present era is known.
func (t *eraTracker) knownSince() time.Time {
	_, since := t.current()
	return since
}

// merge adds what another daemon reports: an era, and since when it is known.
func (t *eraTracker) merge(era int64, since time.Time) {
	t.eras.Observe(era)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh()
	if era == t.era && since.Before(t.since) {
		t.since = since
	}
}

// applyEra applies the era that another daemon reports.
func (d *Daemon) applyEra(r peering.Report) {
	if r.Era > 0 && r.EraSinceMs > 0 {
		d.era.merge(r.Era, time.UnixMilli(r.EraSinceMs))
	}
}

// recordEraRise logs a rise of the era and tells other daemons of it.
func (d *Daemon) recordEraRise() {
	d.logger.Info("era of the store has risen", "era", d.store.Eras().Current())
	d.announceNews()
}

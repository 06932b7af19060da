package fleetsync

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/objectclient"
	"rattantide/internal/peering"
)

// evacuationTimeout is the time without a confirmation from another daemon after which a
// daemon reads the evacuations itself.
const evacuationTimeout = 2500 * time.Millisecond

// EvacuationOptions configures an EvacuationSync. All fields are required.
type EvacuationOptions struct {
	Store WatchStore
	// Kind is the kind of the evacuations; their names are those of failure domains.
	Kind string
	// ReaderRank returns this daemon's position among the readers, or NotReader. The
	// first reader watches the store, and the other daemons rely on its reports. They
	// read the store only if none confirms the set for evacuationTimeout.
	ReaderRank func() int
	// OnChange is called after a change of the set.
	OnChange func()
	// Now is the boot clock, which also advances while the machine is suspended.
	Now    func() time.Time
	Logger *log.Logger
	Scope  tally.Scope
}

// EvacuationSync keeps the set of evacuated failure domains up to date. While neither the
// store nor another daemon is reached, the last known set stays in effect. It is safe for
// concurrent use.
type EvacuationSync struct {
	opts EvacuationOptions

	mu sync.Mutex
	// domains is the sorted set at revision. It was last known to be the newest one at
	// confirmedAt, which is zero before the first read.
	domains     []string
	revision    objectclient.Revision
	confirmedAt time.Time

	// retained holds the evacuations that a restored store lacks, until retainedUntil: by
	// then, operators have written again those that are still declared. Both belong to the
	// goroutine of Run.
	retained      []string
	retainedUntil time.Time

	// mustList is set if the next read of the store must list the evacuations. It belongs
	// to the goroutine of Run.
	mustList bool
	status   readStatus
}

// NewEvacuationSync returns an EvacuationSync that does nothing until Run.
func NewEvacuationSync(opts EvacuationOptions) *EvacuationSync {
	return &EvacuationSync{opts: opts, mustList: true, status: readStatus{part: "the evacuations", logger: opts.Logger}}
}

// Run keeps the set up to date until ctx ends. It returns nil.
func (e *EvacuationSync) Run(ctx context.Context) error { return runSteps(ctx, e.step) }

// Includes reports whether a failure domain is evacuated.
func (e *EvacuationSync) Includes(domain string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.domains, domain)
}

// Report returns the set for other daemons, or nil before the first read.
func (e *EvacuationSync) Report() *peering.Evacuation {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.confirmedAt.IsZero() {
		return nil
	}
	return &peering.Evacuation{Revision: e.revision, Domains: e.domains, AgeMs: e.opts.Now().Sub(e.confirmedAt).Milliseconds()}
}

// ApplyReport applies the set of another daemon's report, which was requested at sentAt.
func (e *EvacuationSync) ApplyReport(r *peering.Evacuation, sentAt time.Time) {
	if r != nil {
		e.apply(r.Domains, r.Revision, sentAt.Add(-time.Duration(r.AgeMs)*time.Millisecond))
	}
}

// apply replaces the set unless it is older than the present one. confirmedAt is when it
// was known to be the newest one.
func (e *EvacuationSync) apply(domains []string, revision objectclient.Revision, confirmedAt time.Time) {
	e.mu.Lock()
	if revision < e.revision {
		e.mu.Unlock()
		return
	}
	changed := !slices.Equal(e.domains, domains)
	e.domains, e.revision = domains, revision
	if confirmedAt.After(e.confirmedAt) {
		e.confirmedAt = confirmedAt
	}
	e.mu.Unlock()
	if changed {
		e.opts.Logger.Info("evacuated failure domains changed", "domains", domains, "revision", revision)
		e.opts.OnChange()
	}
}

// isFresh reports whether the set was confirmed within evacuationTimeout.
func (e *EvacuationSync) isFresh() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.confirmedAt.IsZero() && e.opts.Now().Sub(e.confirmedAt) < evacuationTimeout
}

// step reads the store if necessary and returns the time until the next step.
func (e *EvacuationSync) step(ctx context.Context) time.Duration {
	if e.opts.ReaderRank() != 0 && e.isFresh() {
		return feedCheckInterval
	}
	if len(e.retained) > 0 && !e.opts.Now().Before(e.retainedUntil) {
		e.retained, e.mustList = nil, true
	}
	err := e.readStore(ctx)
	if err == nil {
		e.status.recordSuccess()
		return 0
	}
	e.mustList = true
	if errors.Is(err, objectclient.ErrCompacted) {
		return 0
	}
	e.opts.Scope.Counter("evacuation_read_failed").Inc(1)
	e.status.recordFailure(ctx, err)
	return retryInterval
}

// addRetained adds the evacuations to a list of the store that it lacks because it was
// restored.
func (e *EvacuationSync) addRetained(listed []string, revision objectclient.Revision) []string {
	e.mu.Lock()
	known, isRestored := e.domains, !e.confirmedAt.IsZero() && revision.Era() > e.revision.Era()
	e.mu.Unlock()
	if isRestored {
		e.retained, e.retainedUntil = slices.Clone(known), e.opts.Now().Add(absentRetention)
		e.opts.Logger.Info("the store of the evacuations was restored", "era", revision.Era(), "listed", listed, "known", known)
	}
	e.retained = slices.DeleteFunc(e.retained, func(domain string) bool { return slices.Contains(listed, domain) })
	return append(listed, e.retained...)
}

// readStore lists the evacuations if necessary, else waits for a change.
func (e *EvacuationSync) readStore(ctx context.Context) error {
	sentAt := e.opts.Now()
	if e.mustList {
		list, err := e.opts.Store.List(ctx, e.opts.Kind)
		if err != nil {
			return err
		}
		domains := make([]string, 0, len(list.Items))
		for i := range list.Items {
			domains = append(domains, list.Items[i].Name)
		}
		domains = e.addRetained(domains, list.Revision)
		slices.Sort(domains)
		e.mustList = false
		e.apply(domains, list.Revision, sentAt)
		return nil
	}
	e.mu.Lock()
	domains, revision := e.domains, e.revision
	e.mu.Unlock()
	changed := false
	next, err := e.opts.Store.WatchOnce(ctx, e.opts.Kind, revision, watchDuration, func(event objectclient.Event) error {
		changed = changed || event.Object != nil
		return nil
	})
	if err != nil {
		return err
	}
	if changed {
		e.mustList = true
		return nil
	}
	e.apply(domains, next, e.opts.Now())
	return nil
}

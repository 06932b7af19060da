package usage

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/objectclient"
	"rattantide/internal/periodic"
)

const (
	// recordKind is the object kind of the records that hold the final counts of a
	// window. A record is created before its counts are first sent.
	recordKind = "usagewindows"
	// collectDelay is the time from the end of a window to the collection of the other
	// daemons' counts; settleDelay is the time from the end of a window until all
	// counts have arrived.
	collectDelay = 150 * time.Millisecond
	settleDelay  = 2500 * time.Millisecond
	// collectAttempts is the number of times that counts are requested per window, as
	// messages may be lost.
	collectAttempts = 4
	// reconcileInterval is the interval at which the reporter checks for due windows.
	reconcileInterval = 500 * time.Millisecond
	// maxBacklog bounds the number of past windows that a new holder reports.
	maxBacklog = 4
	// recallTime is how long after a restore of the store the holder waits for what other
	// daemons know of windows that may have been reported before.
	recallTime = 3 * time.Second
	// errNotKnown means that a window may have been reported with counts that neither the
	// store nor a daemon knows any more.
	errNotKnown = errors.ConstError("the store was restored since the window was due, and nobody knows whether it was reported")
)

// Sender sends usage reports.
type Sender interface {
	// ReportUsage reports the number of requests of each workspace in a window,
	// with the fencing token of the duty. It may be called again for a window, with
	// the same counts.
	ReportUsage(ctx context.Context, fence, window int64, counts map[string]int64) error
}

// ReporterOptions configures a Reporter. All fields are required.
type ReporterOptions struct {
	Store   objectclient.Store
	Sender  Sender
	Counter *Counter
	Ledger  *Ledger
	Finals  *Finals
	// StoreSince returns the true time since which the present era of the store is known to
	// some daemon. Records that were written before may be lost.
	StoreSince func() time.Time
	// OnFinal is called when the counts of a window became final, before they are sent, so
	// that the next holders learn of them.
	OnFinal func()
	// Held returns the fencing token of the duty and whether this daemon holds it.
	Held func() (fence int64, ok bool)
	// Now returns the true time.
	Now    func() time.Time
	Logger *log.Logger
	Scope  tally.Scope
	// Collect requests the counts of all daemons if first is set, and otherwise of those
	// that have not sent them since.
	Collect func(first bool)
	// StaleFence reports whether an error means that a holder with a newer fencing
	// token has made a call.
	StaleFence func(error) bool
}

// Reporter sends one report per window while this daemon holds the duty. The counts
// of a window are written to the store before they are first sent, so that all reports
// of a window are identical, whichever daemon sends them. A store that is restored from a
// copy may lose them: daemons remember them too, and a window that may have been reported
// with counts that nobody knows is not reported again. A Reporter is not safe for
// concurrent use.
type Reporter struct {
	opts ReporterOptions
	// lastReported is the last window whose report was accepted.
	lastReported int64
	// staleFence is the fencing token that was refused; it is not used again.
	staleFence int64
	// lastCollected is the last window for which counts were collected, and collectCount
	// the number of collections for it.
	lastCollected int64
	collectCount  int
}

// NewReporter returns a Reporter.
func NewReporter(opts ReporterOptions) *Reporter { return &Reporter{opts: opts} }

// Run reports usage until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	return periodic.Every(ctx, reconcileInterval, r.reconcile)
}

// reconcile reports the windows that are due.
func (r *Reporter) reconcile(ctx context.Context) {
	fence, ok := r.opts.Held()
	if !ok || fence == r.staleFence {
		return
	}
	r.collect()
	due := r.opts.Counter.Window(r.opts.Now().Add(-settleDelay)) - 1
	if r.lastReported == 0 {
		// Another holder may have reported the windows before this process started.
		// The records in the store make a second report identical to the first.
		r.lastReported = due - maxBacklog
	}
	for window := max(r.lastReported+1, due-maxBacklog); window <= due; window++ {
		if err := r.report(ctx, fence, window); err != nil {
			r.handleError(fence, window, err)
			if !r.isLost(err) {
				return
			}
		}
		r.lastReported = window
	}
}

// isLost reports whether a window is left out: nobody has told its counts for recallTime.
func (r *Reporter) isLost(err error) bool {
	return errors.Is(err, errNotKnown) && r.opts.Now().Sub(r.opts.StoreSince()) > recallTime
}

// collect requests the counts of the window that ended last, collectAttempts times in
// consecutive calls.
func (r *Reporter) collect() {
	ended := r.opts.Counter.Window(r.opts.Now().Add(-collectDelay)) - 1
	if ended != r.lastCollected {
		r.lastCollected, r.collectCount = ended, 0
	}
	if r.collectCount < collectAttempts {
		r.collectCount++
		r.opts.Collect(r.collectCount == 1)
	}
}

func (r *Reporter) handleError(fence, window int64, err error) {
	r.opts.Scope.Counter("usage_report_failed").Inc(1)
	r.opts.Logger.Warn("usage report failed", "window", window, "fence", fence, "error", err)
	if r.opts.StaleFence(err) {
		r.staleFence = fence
	}
}

// record is the stored format of the counts of a window.
type record struct {
	Window int64  `json:"window"`
	Counts Counts `json:"counts"`
}

func (r *Reporter) report(ctx context.Context, fence, window int64) error {
	counts, err := r.persistCounts(ctx, window)
	if err != nil {
		return errors.Trace(err)
	}
	if len(counts) == 0 {
		return nil
	}
	// The lease may have ended during the call of the store.
	if now, ok := r.opts.Held(); !ok || now != fence {
		return errors.Errorf("lease ended before the report was sent")
	}
	if err := r.opts.Sender.ReportUsage(ctx, fence, window, counts); err != nil {
		return errors.Trace(err)
	}
	r.opts.Scope.Counter("usage_reported").Inc(1)
	r.opts.Logger.Info("reported usage", "window", window, "fence", fence, "workspaces", len(counts))
	return nil
}

// persistCounts returns the final counts of a window. If there are none, those of the ledger
// become final by being stored.
func (r *Reporter) persistCounts(ctx context.Context, window int64) (Counts, error) {
	final, isKnown := r.opts.Finals.Get(window)
	if isKnown && final.Revision.Era() == r.opts.Store.Eras().Current() {
		return final.Counts, nil
	}
	counts := final.Counts
	if !isKnown {
		counts = r.opts.Ledger.Total(window)
	}
	if len(counts) == 0 {
		return nil, nil
	}
	stored, err := r.storeCounts(ctx, window, counts, isKnown)
	if err != nil {
		return nil, err
	}
	var inStore record
	if err := json.Unmarshal(stored.Value, &inStore); err != nil {
		return nil, errors.Annotatef(err, "record of window %d", window)
	}
	r.opts.Finals.Merge(map[int64]FinalCounts{window: {Counts: inStore.Counts, Revision: stored.Version}})
	r.opts.OnFinal()
	final, _ = r.opts.Finals.Get(window)
	return final.Counts, nil
}

// storeCounts stores the counts of a window unless it has a record, and returns the record.
// Counts that are not known to be final are not stored if others may have been, in a record
// that a restore has lost.
func (r *Reporter) storeCounts(ctx context.Context, window int64, counts Counts, areFinal bool) (*objectclient.Object, error) {
	name := strconv.FormatInt(window, 10)
	if !areFinal && r.opts.Counter.End(window).Add(settleDelay).Before(r.opts.StoreSince()) {
		stored, err := r.opts.Store.Get(ctx, recordKind, name)
		if errors.Is(err, objectclient.ErrNotFound) {
			return nil, errors.Trace(errNotKnown)
		}
		return stored, errors.Trace(err)
	}
	value, err := json.Marshal(record{Window: window, Counts: counts})
	if err != nil {
		return nil, errors.Trace(err)
	}
	stored, err := r.opts.Store.Put(ctx, recordKind, name, objectclient.MustNotExist, value)
	if errors.Is(err, objectclient.ErrConflict) && stored == nil {
		stored, err = r.opts.Store.Get(ctx, recordKind, name)
	}
	if err != nil && !errors.Is(err, objectclient.ErrConflict) {
		return nil, errors.Trace(err)
	}
	return stored, nil
}

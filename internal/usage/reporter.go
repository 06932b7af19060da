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
// of a window are identical, whichever daemon sends them. A Reporter is not safe for
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
			return
		}
		r.lastReported = window
	}
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

// persistCounts returns the stored counts of a window. If there are none, it stores
// those of the ledger.
func (r *Reporter) persistCounts(ctx context.Context, window int64) (Counts, error) {
	counts := r.opts.Ledger.Total(window)
	if len(counts) == 0 {
		return nil, nil
	}
	value, err := json.Marshal(record{Window: window, Counts: counts})
	if err != nil {
		return nil, errors.Trace(err)
	}
	stored, err := r.opts.Store.Put(ctx, recordKind, strconv.FormatInt(window, 10), objectclient.MustNotExist, value)
	switch {
	case err == nil:
	case errors.Is(err, objectclient.ErrConflict):
		if stored == nil {
			if stored, err = r.opts.Store.Get(ctx, recordKind, strconv.FormatInt(window, 10)); err != nil {
				return nil, errors.Trace(err)
			}
		}
	default:
		return nil, errors.Trace(err)
	}
	var final record
	if err := json.Unmarshal(stored.Value, &final); err != nil {
		return nil, errors.Annotatef(err, "record of window %d", window)
	}
	return final.Counts, nil
}

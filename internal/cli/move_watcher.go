package cli

import (
	"context"
	"net/http"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"rattantide/internal/admin"
	"rattantide/internal/api"
)

// outcomeGrace is how long after the deadline the outcome is still polled for. A
// controller that has just taken over needs this time to record it.
const outcomeGrace = 15 * time.Second

// moveWatcher prints the progress of a move until it has ended.
type moveWatcher struct {
	commonFlags
	client       *Client
	pollInterval time.Duration

	lastPrinted api.MoveStatus
	// isUnavailable reports whether the last read could not get the state from the
	// object API. The warning about it is printed once per interruption.
	isUnavailable bool
}

func (w *moveWatcher) run(ctx context.Context, object *api.Object) (subcommands.ExitStatus, error) {
	status := moveStatus(object)
	// The full duration of the move is added to the local time, so that the
	// local clock need not agree with that of the store. The watch of a move that
	// was declared earlier therefore ends later than necessary.
	watchUntil := time.Now().Add(time.Duration(status.DeadlineMs-status.DeclaredMs)*time.Millisecond + outcomeGrace)
	ticker := time.NewTicker(w.pollInterval)
	defer ticker.Stop()
	for {
		w.printProgress(object)
		if moveStatus(object).Phase.HasEnded() {
			return w.printOutcome(object)
		}
		if time.Now().After(watchUntil) {
			return ExitUnavailable, errors.WithType(errors.Errorf(
				"no outcome of VersionMove/%s has been recorded although its deadline has passed; unless the move was done by the deadline, the old version serves the traffic; watch it again with: rattantide move -name %s",
				object.Name, object.Name), ErrNoOutcome)
		}
		select {
		case <-ctx.Done():
			return ExitFailure, errors.Errorf("watching was interrupted and the move continues; watch it again with: rattantide move -name %s", object.Name)
		case <-ticker.C:
		}
		var err error
		if object, err = w.refresh(ctx, object); err != nil {
			return ExitFailure, err
		}
	}
}

// refresh reads the move again. It returns current while the object API or all
// daemons are unavailable, unless a daemon has a newer version.
func (w *moveWatcher) refresh(ctx context.Context, current *api.Object) (*api.Object, error) {
	next := &api.Object{}
	header, err := w.client.Do(ctx, http.MethodGet, objectPath(current.Kind, current.Name), nil, next)
	switch {
	case err == nil && header.Get(admin.SourceHeader) == admin.SourceObjectAPI:
		w.isUnavailable = false
		return next, nil
	case err == nil || exitCode(err) == ExitUnavailable:
		if !w.isUnavailable {
			w.env.errorf("the state of the move is temporarily unavailable; still watching")
		}
		w.isUnavailable = true
		if err == nil && next.Version > current.Version {
			return next, nil
		}
		return current, nil
	case ctx.Err() != nil:
		return current, nil
	}
	return nil, err
}

// printProgress prints a line if the phase, the share or the reason has changed
// since the last one.
func (w *moveWatcher) printProgress(object *api.Object) {
	s := moveStatus(object)
	if s.Phase == w.lastPrinted.Phase && s.Share == w.lastPrinted.Share && s.Reason == w.lastPrinted.Reason {
		return
	}
	w.lastPrinted = *s
	if w.output == "table" && !s.Phase.HasEnded() {
		w.env.printf("%s  %s  share %s  %s\n", time.Now().Format(time.TimeOnly), s.Phase, formatPercent(s.Share), orDash(s.Reason))
	}
}

// printOutcome prints a move that has ended and returns the exit code for it.
func (w *moveWatcher) printOutcome(object *api.Object) (subcommands.ExitStatus, error) {
	s := moveStatus(object)
	if w.output == "json" {
		if err := w.printJSON(object); err != nil {
			return ExitFailure, errors.Trace(err)
		}
	} else {
		w.env.printf("VersionMove/%s %s: %s\n", object.Name, s.Phase, orDash(s.Reason))
	}
	if s.Phase == api.MoveUndone {
		w.env.errorf("the move was undone; see the evidence with: rattantide describe versionmove %s", object.Name)
		return ExitMoveUndone, nil
	}
	return ExitOK, nil
}

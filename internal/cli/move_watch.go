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

// outcomeGrace is how long after the deadline the watch still asks for the
// recorded outcome. Within it a controller that just took over writes it.
const outcomeGrace = 15 * time.Second

// moveWatch prints the progress of a move until it has ended.
type moveWatch struct {
	common
	client *Client
	poll   time.Duration

	printed api.MoveStatus
	failing bool
}

func (w *moveWatch) run(ctx context.Context, object *api.Object) (subcommands.ExitStatus, error) {
	status := moveStatus(object)
	// The time left is counted from here, so that this machine's clock need
	// not agree with the store's. A move watched later is given up later.
	giveUp := time.Now().Add(time.Duration(status.ByMs-status.DeclaredMs)*time.Millisecond + outcomeGrace)
	ticker := time.NewTicker(w.poll)
	defer ticker.Stop()
	for {
		w.progress(object)
		if moveStatus(object).Phase.Ended() {
			return w.end(object)
		}
		if time.Now().After(giveUp) {
			return ExitUnavailable, errors.WithType(errors.Errorf(
				"no outcome of VersionMove/%s is recorded after its deadline; unless it is done by then, traffic is back on the old version; ask again with: rattantide move -name %s",
				object.Name, object.Name), ErrNoOutcome)
		}
		select {
		case <-ctx.Done():
			return ExitFailure, errors.Errorf("watching was interrupted; the move goes on; watch it with: rattantide move -name %s", object.Name)
		case <-ticker.C:
		}
		var err error
		if object, err = w.look(ctx, object); err != nil {
			return ExitFailure, err
		}
	}
}

// look reads the move again. While no daemon can tell, the known state stays.
func (w *moveWatch) look(ctx context.Context, held *api.Object) (*api.Object, error) {
	next := &api.Object{}
	header, err := w.client.Do(ctx, http.MethodGet, objectPath(held.Kind, held.Name), nil, next)
	switch {
	case err == nil && header.Get(admin.SourceHeader) == admin.SourceStore:
		w.failing = false
		return next, nil
	case err == nil || exitOf(err) == ExitUnavailable:
		if !w.failing {
			w.env.errorf("the state of the move is not available at the moment; still watching")
		}
		w.failing = true
		if err == nil && next.Version > held.Version {
			return next, nil
		}
		return held, nil
	case ctx.Err() != nil:
		return held, nil
	}
	return nil, err
}

// progress prints a line when something that matters to an operator changed.
func (w *moveWatch) progress(object *api.Object) {
	s := moveStatus(object)
	if s.Phase == w.printed.Phase && s.Share == w.printed.Share && s.Reason == w.printed.Reason {
		return
	}
	w.printed = *s
	if w.output == "table" && !s.Phase.Ended() {
		w.env.printf("%s  %s  share %s  %s\n", time.Now().Format(time.TimeOnly), s.Phase, percent(s.Share), orDash(s.Reason))
	}
}

func (w *moveWatch) end(object *api.Object) (subcommands.ExitStatus, error) {
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

package daemon

import (
	"context"
	"net/http"
	"time"

	"rattantide/internal/framing"
)

// closeTimeout bounds the wait for connections to close once no request is
// open, and the wait for queued outcomes to be written.
const closeTimeout = 5 * time.Second

// noticeLinger is how long a daemon under a reclaim notice still serves callers
// after its handoff.
const noticeLinger = 2 * time.Second

// plannedHandOverTimeout bounds the handoff at the end of a planned stop.
const plannedHandOverTimeout = 10 * time.Second

// Drain starts a planned stop and returns once the daemon has announced that it
// is leaving, or the announcement failed. It implements admin.Drainer.
func (d *Daemon) Drain(ctx context.Context) error {
	d.beginDrain(0)
	return d.syncer.AnnounceLeaving(ctx)
}

// beginDrain starts the drain; later calls have no effect. notice is the time that
// remains until a reclaim; it is not positive for a planned stop.
func (d *Daemon) beginDrain(notice time.Duration) {
	d.drainOnce.Do(func() {
		d.reclaimNotice = notice
		d.server.BeginDrain()
		close(d.draining)
	})
}

// waitForDrain blocks until the daemon must drain, or until a component has
// failed. The end of ctx starts a planned stop.
func (d *Daemon) waitForDrain(ctx, componentsCtx context.Context) {
	select {
	case <-ctx.Done():
		d.beginDrain(0)
	case <-d.draining:
	case <-componentsCtx.Done():
	}
}

// drainOnNotice starts the drain when this daemon is leaving according to a reclaim
// notice for its instance or failure domain, or to the instance list. The list states
// no deadline, so the drain is then that of a planned stop.
func (d *Daemon) drainOnNotice(ctx context.Context) {
	for {
		changed := d.table.Changed()
		if self := d.table.Self(); self.Leaving {
			d.beginDrain(time.Until(self.LeavingBy))
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// drain announces that the daemon is leaving, waits for open requests to end or
// hands them over, and closes the server.
func (d *Daemon) drain(ctx context.Context, httpServer *http.Server, protection *framing.Protection) {
	started := time.Now()
	d.logger.Info("drain started", "daemon", d.settings.Name, "inFlight", d.server.InFlight(), "noticeMs", d.reclaimNotice.Milliseconds())
	if err := d.syncer.AnnounceLeaving(ctx); err != nil {
		d.logger.Warn("failed to announce that this daemon is leaving", "error", err)
	}
	if d.reclaimNotice > 0 {
		d.drainUnderNotice(ctx, started.Add(max(0, d.reclaimNotice-d.settings.NoticeReserve)))
	} else {
		d.drainPlanned(ctx, started)
	}
	closeCtx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if err := httpServer.Shutdown(closeCtx); err != nil {
		d.logger.Warn("closing connections that are still open at the end of the drain", "inFlight", d.server.InFlight())
		protection.ResetIncomplete()
		_ = httpServer.Close()
	}
	d.logger.Info("drain ended", "daemon", d.settings.Name, "tookMs", time.Since(started).Milliseconds())
}

// drainUnderNotice hands all records over at once: the notice may be shorter
// than any open answer, and the handoff itself takes milliseconds. Calls to
// plain services cannot be handed over and end by themselves.
func (d *Daemon) drainUnderNotice(ctx context.Context, deadline time.Time) {
	d.handoff.HandOver(ctx, deadline)
	waitCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	_ = d.server.WaitIdle(waitCtx)
	d.flushOutcomes(ctx)
	// Another daemon that received its own notice at the same time may have
	// chosen this one as successor, and its callers may still arrive.
	d.serveUntil(ctx, earlierTime(deadline, time.Now().Add(noticeLinger)))
}

func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// drainPlanned waits for open requests to end and hands over the remaining ones
// at the drain limit. The daemon continues to serve for as long as callers may
// have its address cached, to redirect them.
func (d *Daemon) drainPlanned(ctx context.Context, started time.Time) {
	waitCtx, cancel := context.WithTimeout(ctx, d.settings.DrainLimit)
	defer cancel()
	if err := d.server.WaitIdle(waitCtx); err != nil {
		d.handoff.HandOver(ctx, time.Now().Add(plannedHandOverTimeout))
	}
	d.flushOutcomes(ctx)
	d.serveUntil(ctx, started.Add(min(d.settings.EntryTTL, d.settings.DrainLimit)))
}

// serveUntil continues to serve until the given time, to redirect callers that
// still use this address from the list of entries or as the successor of a
// request.
func (d *Daemon) serveUntil(ctx context.Context, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// flushOutcomes writes the queued outcomes of at-most-once calls. Without them,
// a repeated key would get an unknown outcome.
func (d *Daemon) flushOutcomes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if err := d.intentLog.Flush(ctx); err != nil {
		d.logger.Warn("failed to record the outcomes of at-most-once calls", "error", err)
	}
}

package daemon

import (
	"context"
	"net/http"
	"time"
)

// closeTimeout bounds the wait for connections to close once no request is open.
const closeTimeout = 5 * time.Second

// lingerTime is how long a daemon under notice answers callers after its handoff.
const lingerTime = 2 * time.Second

// handOverTimeout bounds the handoff at the end of a planned stop.
const handOverTimeout = 10 * time.Second

// Drain starts a planned stop and returns once the daemon has announced that it
// is leaving. It implements admin.Drainer.
func (d *Daemon) Drain(ctx context.Context) error {
	d.beginDrain(0)
	return d.syncer.AnnounceLeaving(ctx)
}

func (d *Daemon) beginDrain(notice time.Duration) {
	d.drainOnce.Do(func() {
		d.notice = notice
		d.server.BeginDrain()
		close(d.draining)
	})
}

// waitForDrain returns when the daemon must drain, or when its work failed.
func (d *Daemon) waitForDrain(ctx, work context.Context) {
	select {
	case <-ctx.Done():
		d.beginDrain(0)
	case <-d.draining:
	case <-work.Done():
	}
}

// watchNotice starts the drain when a reclaim notice names this instance or its
// failure domain.
func (d *Daemon) watchNotice(ctx context.Context) {
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

// drain announces that the daemon is leaving, lets open requests end or hands
// them off, and closes the server.
func (d *Daemon) drain(ctx context.Context, web *http.Server) {
	started := time.Now()
	d.logger.Info("drain started", "daemon", d.settings.Name, "inFlight", d.server.InFlight(), "noticeMs", d.notice.Milliseconds())
	if err := d.syncer.AnnounceLeaving(ctx); err != nil {
		d.logger.Warn("leaving could not be announced", "error", err)
	}
	if d.notice > 0 {
		d.leaveUnderNotice(ctx, started.Add(max(0, d.notice-d.settings.NoticeReserve)))
	} else {
		d.leaveAsPlanned(ctx, started)
	}
	closing, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if err := web.Shutdown(closing); err != nil {
		d.logger.Warn("connections are still open at the end of the drain", "inFlight", d.server.InFlight())
		_ = web.Close()
	}
	d.logger.Info("drain ended", "daemon", d.settings.Name, "tookMs", time.Since(started).Milliseconds())
}

// leaveUnderNotice hands everything over at once: the notice may be shorter than
// any open answer, and the handoff itself takes milliseconds. Calls to plain
// services cannot move and end by themselves.
func (d *Daemon) leaveUnderNotice(ctx context.Context, deadline time.Time) {
	d.handoff.HandOver(ctx, deadline)
	waiting, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	_ = d.server.WaitIdle(waiting)
	d.flushOutcomes(ctx)
	// A daemon that learned of its own notice at the same time may have named
	// this one as the successor, and its callers are on their way.
	d.stayReachable(ctx, earlier(deadline, time.Now().Add(lingerTime)))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// leaveAsPlanned waits for open requests to end and hands off what is left at
// the drain limit. It stays reachable as long as callers may keep an address, so
// that they are told where to go.
func (d *Daemon) leaveAsPlanned(ctx context.Context, started time.Time) {
	waiting, cancel := context.WithTimeout(ctx, d.settings.DrainLimit)
	defer cancel()
	if err := d.server.WaitIdle(waiting); err != nil {
		d.handoff.HandOver(ctx, time.Now().Add(handOverTimeout))
	}
	d.flushOutcomes(ctx)
	d.stayReachable(ctx, started.Add(min(d.settings.EntryTTL, d.settings.DrainLimit)))
}

// stayReachable keeps answering callers that still have this address, from the
// list of entries or as the successor of a request, and tells them where to go.
func (d *Daemon) stayReachable(ctx context.Context, until time.Time) {
	stay := time.NewTimer(time.Until(until))
	defer stay.Stop()
	select {
	case <-stay.C:
	case <-ctx.Done():
	}
}

// flushOutcomes writes the outcomes of at-most-once calls that are still queued;
// without them a repeated key would be answered as unknown.
func (d *Daemon) flushOutcomes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if err := d.intents.Flush(ctx); err != nil {
		d.logger.Warn("outcomes could not be recorded", "error", err)
	}
}

package daemon

import (
	"context"
	"net/http"
	"time"
)

// closeTimeout bounds the wait for connections to close once no request is open.
const closeTimeout = 5 * time.Second

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

// drain announces that the daemon is leaving, lets open requests end, hands off
// the rest, and closes the server.
func (d *Daemon) drain(ctx context.Context, web *http.Server) {
	started := time.Now()
	limit := d.settings.DrainLimit
	if d.notice > 0 {
		limit = max(0, d.notice-d.settings.NoticeReserve)
	}
	d.logger.Info("drain started", "daemon", d.settings.Name, "inFlight", d.server.InFlight(), "noticeMs", d.notice.Milliseconds())
	if err := d.syncer.AnnounceLeaving(ctx); err != nil {
		d.logger.Warn("leaving could not be announced", "error", err)
	}
	waiting, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := d.server.WaitIdle(waiting); err != nil {
		d.logger.Warn("requests are still open at the end of the drain", "inFlight", d.server.InFlight())
	}
	closing, cancelClose := context.WithTimeout(ctx, closeTimeout)
	defer cancelClose()
	if err := web.Shutdown(closing); err != nil {
		_ = web.Close()
	}
	d.logger.Info("drain ended", "daemon", d.settings.Name, "tookMs", time.Since(started).Milliseconds())
}

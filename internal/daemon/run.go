package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

const (
	// headerTimeout bounds the time in which a caller must send its header.
	headerTimeout = 10 * time.Second
	// idleTimeout ends idle connections of callers, so that a silent one does
	// not stay for good.
	idleTimeout = 2 * time.Minute
)

// Run serves until ctx ends, then drains and returns. A reclaim notice for this
// instance, or an operator's order, drains as well.
func (d *Daemon) Run(ctx context.Context) error {
	handler, err := d.buildRouter()
	if err != nil {
		return errors.Trace(err)
	}
	web := &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    d.settings.MaxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	if web.TLSConfig, err = serverTLS(d.settings); err != nil {
		return errors.Trace(err)
	}
	// The parts outlive ctx: they are needed until the drain has ended.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	parts, work := errgroup.WithContext(work)
	d.startParts(work, parts)
	parts.Go(func() error { return d.serve(web) })
	parts.Go(func() error {
		defer stop()
		d.waitForDrain(ctx, work)
		d.drain(work, web)
		return nil
	})
	err = parts.Wait()
	d.close()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return errors.Trace(err)
}

// startParts runs the parts that work in the background.
func (d *Daemon) startParts(ctx context.Context, parts *errgroup.Group) {
	parts.Go(func() error { return d.syncer.Run(ctx) })
	parts.Go(func() error { return d.intents.Run(ctx) })
	parts.Go(func() error { return d.leases.Run(ctx) })
	parts.Go(func() error { return d.moves.Run(ctx) })
	parts.Go(func() error { d.guard.Run(ctx); return nil })
	parts.Go(func() error { return d.watcher.Run(ctx) })
	parts.Go(func() error { d.movePeers.Run(ctx); return nil })
	parts.Go(func() error { d.handoff.Run(ctx); return nil })
	parts.Go(func() error { d.watchNotice(ctx); return nil })
	parts.Go(func() error { newReclaims(d.table, d.trackers).Run(ctx); return nil })
}

func (d *Daemon) serve(web *http.Server) error {
	d.logger.Info("daemon is listening", "daemon", d.settings.Name, "address", d.settings.Advertise, "domain", d.settings.Domain)
	var err error
	if web.TLSConfig != nil {
		err = web.ServeTLS(d.listener, "", "")
	} else {
		err = web.Serve(d.listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Annotate(err, "serve")
}

func (d *Daemon) close() {
	d.server.Close()
	d.journal.Close()
	d.engines.CloseIdle()
	d.http.CloseIdleConnections()
	for _, c := range d.closers {
		_ = c.Close()
	}
}

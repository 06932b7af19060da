package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"rattantide/internal/framing"
)

const (
	// headerTimeout bounds the time to receive a request header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection of a caller stays open, so
	// that unused connections do not accumulate.
	idleTimeout = 2 * time.Minute
)

// Run serves until ctx ends, then drains and returns. A reclaim notice for this
// instance or a drain request of an operator also starts the drain. If a component
// fails, Run stops and returns the error.
func (d *Daemon) Run(ctx context.Context) error {
	handler, err := d.buildRouter()
	if err != nil {
		return errors.Trace(err)
	}
	httpServer := &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    d.settings.MaxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	if httpServer.TLSConfig, err = serverTLS(d.settings); err != nil {
		return errors.Trace(err)
	}
	protection := framing.Protect(httpServer, d.logger)
	// The components outlive ctx, because they are needed until the drain has
	// ended.
	componentsCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	components, componentsCtx := errgroup.WithContext(componentsCtx)
	d.startComponents(componentsCtx, components)
	components.Go(func() error { return d.serve(httpServer) })
	components.Go(func() error {
		defer stop()
		d.waitForDrain(ctx, componentsCtx)
		d.drain(componentsCtx, httpServer, protection)
		return nil
	})
	err = components.Wait()
	d.close()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return errors.Trace(err)
}

// startComponents starts the components that run in the background.
func (d *Daemon) startComponents(ctx context.Context, components *errgroup.Group) {
	components.Go(func() error { return d.syncer.Run(ctx) })
	components.Go(func() error { return d.intentLog.Run(ctx) })
	components.Go(func() error { return d.leases.Run(ctx) })
	components.Go(func() error { return d.moveController.Run(ctx) })
	components.Go(func() error { d.moveGuard.Run(ctx); return nil })
	components.Go(func() error { return d.watcher.Run(ctx) })
	components.Go(func() error { return d.paths.Run(ctx) })
	components.Go(func() error { return d.followUpstreams(ctx) })
	components.Go(func() error { d.movePeers.Run(ctx); return nil })
	components.Go(func() error { d.handoff.Run(ctx); return nil })
	components.Go(func() error { d.drainOnNotice(ctx); return nil })
	components.Go(func() error { newReclaimCounter(d.table, d.trackers).Run(ctx); return nil })
}

func (d *Daemon) serve(httpServer *http.Server) error {
	d.logger.Info("daemon is listening", "daemon", d.settings.Name, "address", d.settings.Advertise, "domain", d.settings.Domain)
	var err error
	if httpServer.TLSConfig != nil {
		err = httpServer.ServeTLS(d.listener, "", "")
	} else {
		err = httpServer.Serve(d.listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Annotate(err, "serve")
}

// close releases the resources of the components after they have ended.
func (d *Daemon) close() {
	d.server.Close()
	d.journal.Close()
	d.engines.CloseIdleConnections()
	d.httpClient.CloseIdleConnections()
	for _, c := range d.closers {
		_ = c.Close()
	}
}

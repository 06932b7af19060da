package daemon

import (
	"net/http"
	"strings"

	"github.com/juju/errors"
	"github.com/kataras/iris/v12"

	"rattantide/internal/admin"
	"rattantide/internal/peer"
	"rattantide/internal/problem"
)

// router sends JSON calls of peers and operators to iris and everything else,
// streams above all, to the caller API on net/http.
type router struct {
	control http.Handler
	callers http.Handler
}

// ServeHTTP implements http.Handler.
func (r router) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if isControl(request.URL.Path) {
		r.control.ServeHTTP(w, request)
		return
	}
	r.callers.ServeHTTP(w, request)
}

func isControl(path string) bool {
	for _, prefix := range []string{"/peer/", "/admin/", "/metrics", "/healthz", "/readyz"} {
		if strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

func (d *Daemon) buildRouter() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithoutBodyConsumptionOnUnmarshal, iris.WithoutAutoFireStatusCode)
	app.Get("/healthz", func(c iris.Context) { _, _ = c.WriteString("ok\n") })
	app.Get("/readyz", d.serveReady)
	app.Get("/metrics", iris.FromStd(d.metrics))

	peers := app.Party("/peer/v1", admin.RequireToken(d.settings.PeerToken, d.scope.SubScope("peer")))
	d.registerPeers(peers)
	admin.New(admin.Options{
		Store: d.store, Config: d.cache, OperatorToken: d.settings.OperatorToken,
		MaxObjectBytes: d.settings.MaxObjectBytes, Status: d,
		Explainer: explainer{name: d.settings.Name, admission: d.admission, journal: d.journal},
		Burn:      d.burn,
		Drainer:   d, Scope: d.scope, Log: d.logger,
	}).RegisterHandlers(app)
	if err := app.Build(); err != nil {
		return nil, errors.Trace(err)
	}
	return router{control: app, callers: d.server.Handler()}, nil
}

func (d *Daemon) registerPeers(party iris.Party) {
	d.syncer.RegisterHandlers(party)
	d.intents.RegisterHandlers(party)
	d.handoff.RegisterHandlers(party)
	d.movePeers.registerHandlers(party)
}

// serveReady answers 200 once a configuration is in effect and until the drain.
func (d *Daemon) serveReady(c iris.Context) {
	select {
	case <-d.draining:
		peer.WriteError(c.ResponseWriter(), problem.New(http.StatusServiceUnavailable, problem.CodeLeaving, "this daemon is leaving"))
		return
	default:
	}
	select {
	case <-d.syncer.Ready():
		_, _ = c.WriteString("ready\n")
	default:
		peer.WriteError(c.ResponseWriter(), problem.New(http.StatusServiceUnavailable, problem.CodeObjectAPIUnavailable, "no configuration is in effect yet"))
	}
}

package daemon

import (
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/juju/errors"
	"github.com/kataras/iris/v12"

	"rattantide/internal/admin"
	"rattantide/internal/peer"
	"rattantide/internal/problem"
)

// router serves JSON calls of peers and operators with iris, and all other
// requests, mainly streams, with the caller API on net/http.
type router struct {
	controlAPI http.Handler
	callerAPI  http.Handler
}

// ServeHTTP implements http.Handler.
func (r router) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if isControlPath(request.URL.Path) {
		r.controlAPI.ServeHTTP(w, request)
		return
	}
	r.callerAPI.ServeHTTP(w, request)
}

func isControlPath(path string) bool {
	for _, prefix := range []string{"/peer/", "/admin/", "/debug/", "/metrics", "/healthz", "/readyz"} {
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
	d.registerPeerHandlers(peers)
	admin.New(admin.Options{
		Store: d.store, Config: d.cache, OperatorToken: d.settings.OperatorToken,
		MaxObjectBytes: d.settings.MaxObjectBytes, Status: d,
		Explainer: requestExplainer{daemonName: d.settings.Name, admission: d.admission, journal: d.journal},
		Burn:      d.burn,
		Drainer:   d, Scope: d.scope, Log: d.logger,
	}).RegisterHandlers(app)
	d.registerProfileHandlers(app)
	if err := app.Build(); err != nil {
		return nil, errors.Trace(err)
	}
	return router{controlAPI: app, callerAPI: d.server.Handler()}, nil
}

func (d *Daemon) registerPeerHandlers(party iris.Party) {
	d.syncer.RegisterHandlers(party)
	d.intentLog.RegisterHandlers(party)
	d.handoff.RegisterHandlers(party)
	d.movePeers.registerHandlers(party)
}

// registerProfileHandlers registers the handlers of the runtime's profiles for
// operators.
func (d *Daemon) registerProfileHandlers(app *iris.Application) {
	profiles := app.Party("/debug/pprof", admin.RequireToken(d.settings.OperatorToken, d.scope.SubScope("profiles")))
	profiles.Get("/profile", iris.FromStd(pprof.Profile))
	profiles.Get("/trace", iris.FromStd(pprof.Trace))
	profiles.Get("/{name:string}", func(c iris.Context) {
		pprof.Handler(c.Params().Get("name")).ServeHTTP(c.ResponseWriter(), c.Request())
	})
}

// serveReady responds with 200 once a configuration is in effect, until the
// drain starts.
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

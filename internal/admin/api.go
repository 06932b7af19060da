package admin

import (
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/kataras/iris/v12"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/configsync"
	"rattantide/internal/objectclient"
	"rattantide/internal/problem"
	"rattantide/internal/telemetry"
)

// Prefix is the path prefix of the administration API.
const Prefix = "/admin/v1"

// API is the administration API of one daemon. It is safe for concurrent use.
type API struct {
	store          objectclient.Store
	config         *configsync.Cache
	token          string
	maxObjectBytes int64
	status         StatusSource
	explainer      Explainer
	burn           BurnSource
	drainer        Drainer
	scope          tally.Scope
	log            *log.Logger
}

// New returns an API. It serves requests once its handlers are registered with
// RegisterHandlers.
func New(o Options) *API {
	a := &API{
		store: o.Store, config: o.Config, token: o.OperatorToken, maxObjectBytes: o.MaxObjectBytes,
		status: o.Status, explainer: o.Explainer, burn: o.Burn, drainer: o.Drainer,
		scope: o.Scope, log: o.Log,
	}
	if a.maxObjectBytes <= 0 {
		a.maxObjectBytes = DefaultMaxObjectBytes
	}
	if a.scope == nil {
		a.scope = tally.NoopScope
	}
	a.scope = a.scope.SubScope("admin")
	if a.log == nil {
		a.log = telemetry.Discard()
	}
	return a
}

// RegisterHandlers registers the handlers of the API under Prefix. party must be
// the root of the application.
func (a *API) RegisterHandlers(party iris.Party) {
	p := party.Party(Prefix, RequireToken(a.token, a.scope))
	p.Get("/objects/{kind:string}", a.listObjects)
	p.Get("/objects/{kind:string}/{name:string}", a.getObject)
	p.Put("/objects/{kind:string}/{name:string}", a.putObject)
	p.Delete("/objects/{kind:string}/{name:string}", a.deleteObject)
	p.Get("/status", a.getStatus)
	p.Get("/explain/{id:string}", a.explainRequest)
	p.Get("/burn", a.getBurn)
	p.Post("/drain", a.startDrain)
	p.Any("/{rest:path}", func(c iris.Context) {
		a.writeProblem(c, problem.New(http.StatusNotFound, problem.CodeNotFound, "no such administration endpoint"))
	})
}

func (a *API) getStatus(c iris.Context) {
	if a.status == nil {
		a.writeProblem(c, problem.New(http.StatusNotFound, problem.CodeNotFound, "this daemon has no status"))
		return
	}
	view := a.config.Snapshot()
	status := a.status.Status()
	status.Revision = view.Revision
	status.Moves = sortedMoves(view)
	a.writeJSON(c, http.StatusOK, status)
}

func (a *API) explainRequest(c iris.Context) {
	if a.explainer != nil {
		if explanation, ok := a.explainer.Explain(c.Params().Get("id")); ok {
			a.writeJSON(c, http.StatusOK, explanation)
			return
		}
	}
	a.writeProblem(c, problem.New(http.StatusNotFound, problem.CodeNotFound, "this daemon does not know the request"))
}

func (a *API) getBurn(c iris.Context) {
	if a.burn == nil {
		a.writeProblem(c, problem.New(http.StatusNotFound, problem.CodeNotFound, "this daemon records no burn"))
		return
	}
	a.writeJSON(c, http.StatusOK, a.burn.Export(time.Now()))
}

func (a *API) startDrain(c iris.Context) {
	if a.drainer == nil {
		a.writeProblem(c, problem.New(http.StatusNotFound, problem.CodeNotFound, "this daemon cannot be drained"))
		return
	}
	operator := operatorName(c.Request())
	if err := a.drainer.Drain(c.Request().Context()); err != nil {
		a.log.Warn("drain started, but the daemon failed to announce that it is leaving", "operator", operator, "err", err)
		a.writeProblem(c, err)
		return
	}
	a.log.Info("drain started", "operator", operator)
	a.writeJSON(c, http.StatusAccepted, map[string]string{"state": "draining"})
}

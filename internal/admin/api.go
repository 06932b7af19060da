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

// Prefix is where the administration API is served.
const Prefix = "/admin/v1"

// API is the administration API of one daemon. It is safe for concurrent use.
type API struct {
	store     objectclient.Store
	config    *configsync.Cache
	token     string
	maxObject int64
	status    StatusSource
	explainer Explainer
	burn      BurnSource
	drainer   Drainer
	scope     tally.Scope
	log       *log.Logger
}

// New returns an API. The daemon calls RegisterHandlers to serve it.
func New(o Options) *API {
	a := &API{
		store: o.Store, config: o.Config, token: o.OperatorToken, maxObject: o.MaxObjectBytes,
		status: o.Status, explainer: o.Explainer, burn: o.Burn, drainer: o.Drainer,
		scope: o.Scope, log: o.Log,
	}
	if a.maxObject <= 0 {
		a.maxObject = DefaultMaxObjectBytes
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

// RegisterHandlers serves the API below Prefix of party, which is the root of
// the application.
func (a *API) RegisterHandlers(party iris.Party) {
	p := party.Party(Prefix, RequireToken(a.token, a.scope))
	p.Get("/objects/{kind:string}", a.list)
	p.Get("/objects/{kind:string}/{name:string}", a.get)
	p.Put("/objects/{kind:string}/{name:string}", a.put)
	p.Delete("/objects/{kind:string}/{name:string}", a.delete)
	p.Get("/status", a.getStatus)
	p.Get("/explain/{id:string}", a.explain)
	p.Get("/burn", a.getBurn)
	p.Post("/drain", a.drain)
	p.Any("/{rest:path}", func(c iris.Context) {
		a.fail(c, problem.New(http.StatusNotFound, problem.CodeNotFound, "no such administration endpoint"))
	})
}

func (a *API) getStatus(c iris.Context) {
	if a.status == nil {
		a.fail(c, problem.New(http.StatusNotFound, problem.CodeNotFound, "this daemon has no status"))
		return
	}
	view := a.config.Snapshot()
	status := a.status.Status()
	status.Revision = view.Revision
	status.Moves = movesOf(view)
	a.answer(c, http.StatusOK, status)
}

func (a *API) explain(c iris.Context) {
	if a.explainer != nil {
		if found, ok := a.explainer.Explain(c.Params().Get("id")); ok {
			a.answer(c, http.StatusOK, found)
			return
		}
	}
	a.fail(c, problem.New(http.StatusNotFound, problem.CodeNotFound, "this daemon does not know the request"))
}

func (a *API) getBurn(c iris.Context) {
	if a.burn == nil {
		a.fail(c, problem.New(http.StatusNotFound, problem.CodeNotFound, "this daemon records no burn"))
		return
	}
	a.answer(c, http.StatusOK, a.burn.Export(time.Now()))
}

func (a *API) drain(c iris.Context) {
	if a.drainer == nil {
		a.fail(c, problem.New(http.StatusNotFound, problem.CodeNotFound, "this daemon cannot be drained"))
		return
	}
	operator := operatorName(c.Request())
	if err := a.drainer.Drain(c.Request().Context()); err != nil {
		a.log.Warn("drain refused", "operator", operator, "err", err)
		a.fail(c, err)
		return
	}
	a.log.Info("drain started", "operator", operator)
	a.answer(c, http.StatusAccepted, map[string]string{"state": "draining"})
}

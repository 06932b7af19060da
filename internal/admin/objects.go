package admin

import (
	"io"
	"net/http"
	"sort"

	"github.com/juju/errors"
	"github.com/kataras/iris/v12"

	"rattantide/internal/api"
	"rattantide/internal/objectclient"
	"rattantide/internal/problem"
)

func (a *API) list(c iris.Context) {
	kind, err := kindOf(c)
	if err != nil {
		a.fail(c, err)
		return
	}
	stored, err := a.store.List(c.Request().Context(), string(kind))
	out := &ObjectList{Kind: kind, Source: SourceStore, Items: []*api.Object{}}
	switch {
	case err == nil:
		out.Revision = stored.Revision
		for _, o := range stored.Items {
			out.Items = append(out.Items, envelope(&o))
		}
	case errors.Is(err, objectclient.ErrUnavailable):
		view := a.config.Snapshot()
		out.Source, out.Revision = SourceLocal, view.Revision
		for _, o := range view.Objects[kind] {
			out.Items = append(out.Items, envelope(&o))
		}
	default:
		a.fail(c, readError(err))
		return
	}
	sort.Slice(out.Items, func(i, j int) bool { return out.Items[i].Name < out.Items[j].Name })
	c.Header(SourceHeader, out.Source)
	a.answer(c, http.StatusOK, out)
}

func (a *API) get(c iris.Context) {
	kind, err := kindOf(c)
	if err != nil {
		a.fail(c, err)
		return
	}
	name := c.Params().Get("name")
	stored, err := a.store.Get(c.Request().Context(), string(kind), name)
	source := SourceStore
	if errors.Is(err, objectclient.ErrUnavailable) {
		if held, ok := a.config.Snapshot().Objects[kind][name]; ok {
			stored, err, source = &held, nil, SourceLocal
		}
	}
	if err != nil {
		a.fail(c, readError(err))
		return
	}
	c.Header(SourceHeader, source)
	a.answer(c, http.StatusOK, envelope(stored))
}

// kindOf returns the kind named by the path. Only kinds that operators apply
// can be read, so that leases and at-most-once records stay internal.
func kindOf(c iris.Context) (api.Kind, error) {
	kind := api.Kind(c.Params().Get("kind"))
	if !kind.Known() {
		return "", problem.New(http.StatusNotFound, problem.CodeNotFound, "unknown kind")
	}
	return kind, nil
}

// envelope returns a stored object as operators see it. An object that this
// daemon cannot decode is shown without its typed spec.
func envelope(o *objectclient.Object) *api.Object {
	if o == nil {
		return nil
	}
	obj, err := api.DecodeStored(api.Kind(o.Kind), o.Name, o.Version, o.Value)
	if err != nil {
		return &api.Object{Kind: api.Kind(o.Kind), Name: o.Name, Version: o.Version, Spec: o.Value}
	}
	return obj
}

func (a *API) readBody(c iris.Context) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, a.maxObject+1))
	if err != nil {
		return nil, problem.NotRun(http.StatusBadRequest, problem.CodeBadRequest, "the body could not be read")
	}
	if int64(len(body)) > a.maxObject {
		return nil, problem.NotRun(http.StatusRequestEntityTooLarge, problem.CodeTooLarge,
			"the object is above the limit of this daemon (setting max-object-bytes)")
	}
	return body, nil
}

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

func (a *API) listObjects(c iris.Context) {
	kind, err := pathKind(c)
	if err != nil {
		a.writeProblem(c, err)
		return
	}
	stored, err := a.store.List(c.Request().Context(), string(kind))
	response := &ObjectList{Kind: kind, Source: SourceObjectAPI, Items: []*api.Object{}}
	switch {
	case err == nil:
		response.Revision = stored.Revision
		for _, o := range stored.Items {
			response.Items = append(response.Items, toAPIObject(&o))
		}
	case errors.Is(err, objectclient.ErrUnavailable):
		view := a.config.Snapshot()
		response.Source, response.Revision = SourceLocal, view.Revision
		for _, o := range view.Objects[kind] {
			response.Items = append(response.Items, toAPIObject(&o))
		}
	default:
		a.writeProblem(c, translateReadError(err))
		return
	}
	sort.Slice(response.Items, func(i, j int) bool { return response.Items[i].Name < response.Items[j].Name })
	c.Header(SourceHeader, response.Source)
	a.writeJSON(c, http.StatusOK, response)
}

func (a *API) getObject(c iris.Context) {
	kind, err := pathKind(c)
	if err != nil {
		a.writeProblem(c, err)
		return
	}
	name := c.Params().Get("name")
	stored, err := a.store.Get(c.Request().Context(), string(kind), name)
	source := SourceObjectAPI
	if errors.Is(err, objectclient.ErrUnavailable) {
		if local, ok := a.config.Snapshot().Objects[kind][name]; ok {
			stored, err, source = &local, nil, SourceLocal
		}
	}
	if err != nil {
		a.writeProblem(c, translateReadError(err))
		return
	}
	c.Header(SourceHeader, source)
	a.writeJSON(c, http.StatusOK, toAPIObject(stored))
}

// pathKind returns the object kind in the request path. Only kinds that
// operators apply are accepted, so that leases and at-most-once records stay
// internal.
func pathKind(c iris.Context) (api.Kind, error) {
	kind := api.Kind(c.Params().Get("kind"))
	if !kind.IsKnown() {
		return "", problem.New(http.StatusNotFound, problem.CodeNotFound, "unknown kind")
	}
	return kind, nil
}

// toAPIObject converts a stored object to the form that operators read. If this
// daemon cannot decode the object, Typed is not set and Spec is the stored value.
func toAPIObject(o *objectclient.Object) *api.Object {
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
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, a.maxObjectBytes+1))
	if err != nil {
		return nil, problem.NewNotRun(http.StatusBadRequest, problem.CodeBadRequest, "the body could not be read")
	}
	if int64(len(body)) > a.maxObjectBytes {
		return nil, problem.NewNotRun(http.StatusRequestEntityTooLarge, problem.CodeTooLarge,
			"the object is above the limit of this daemon (setting max-object-bytes)")
	}
	return body, nil
}

package admin

import (
	"net/http"
	"strconv"

	"github.com/juju/errors"
	"github.com/kataras/iris/v12"

	"rattantide/internal/api"
	"rattantide/internal/findings"
	"rattantide/internal/objectclient"
	"rattantide/internal/problem"
)

// delete removes an object that nothing refers to. The query parameter version
// is the version read, or -1 for any.
func (a *API) delete(c iris.Context) {
	kind, err := kindOf(c)
	if err != nil {
		a.fail(c, err)
		return
	}
	name := c.Params().Get("name")
	version, err := strconv.ParseInt(c.URLParam("version"), 10, 64)
	if err != nil || version < objectclient.AnyVersion || version == objectclient.MustNotExist {
		a.fail(c, problem.NotRun(http.StatusBadRequest, problem.CodeBadRequest,
			"the query parameter version must be the version read, or -1 for any"))
		return
	}
	removed, err := a.remove(c, kind, name, version)
	if err != nil {
		a.scope.Counter("delete_failed").Inc(1)
		a.log.Warn("object not deleted", "operator", operatorName(c.Request()),
			"kind", kind, "name", name, "version", version, "err", err)
		a.fail(c, err)
		return
	}
	a.scope.Tagged(map[string]string{"kind": string(kind)}).Counter("objects_deleted").Inc(1)
	a.log.Info("object deleted", "operator", operatorName(c.Request()), "kind", kind, "name", name, "version", removed)
	c.StatusCode(http.StatusNoContent)
}

// remove returns the version that was deleted.
func (a *API) remove(c iris.Context, kind api.Kind, name string, version int64) (int64, error) {
	ctx := c.Request().Context()
	current, err := a.store.Get(ctx, string(kind), name)
	if err != nil {
		return 0, readError(err)
	}
	if version > 0 && current.Version != version {
		return 0, newConflict(version, envelope(current))
	}
	view, err := readKinds(ctx, a.store, kindsForDelete(kind)...)
	if err != nil {
		return 0, readError(err)
	}
	list := &findings.List{}
	checkUsers(view, kind, name, list)
	if err := list.Err(); err != nil {
		return 0, err
	}
	// The deletion is conditional on the object that was just checked, even
	// when the operator takes any version.
	err = a.store.Delete(ctx, string(kind), name, current.Version)
	if errors.Is(err, objectclient.ErrConflict) {
		latest, readErr := a.store.Get(ctx, string(kind), name)
		if readErr != nil && !errors.Is(readErr, objectclient.ErrNotFound) {
			return 0, readError(readErr)
		}
		return 0, newConflict(current.Version, envelope(latest))
	}
	if err != nil {
		return 0, writeError(err)
	}
	return current.Version, nil
}

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

// deleteObject handles a request to delete an object, which is refused if other
// objects refer to it. The query parameter version is the version that was read, or
// -1 for any.
func (a *API) deleteObject(c iris.Context) {
	kind, err := pathKind(c)
	if err != nil {
		a.writeProblem(c, err)
		return
	}
	name := c.Params().Get("name")
	number, err := strconv.ParseInt(c.URLParam("version"), 10, 64)
	version := objectclient.Revision(number)
	if err != nil || version < objectclient.AnyVersion || version == objectclient.MustNotExist {
		a.writeProblem(c, problem.NewNotRun(http.StatusBadRequest, problem.CodeBadRequest,
			"the query parameter version must be the version read, or -1 for any"))
		return
	}
	deletedVersion, err := a.deleteUnreferenced(c, kind, name, version)
	if err != nil {
		a.scope.Counter("delete_failed").Inc(1)
		a.log.Warn("object deletion failed", "operator", operatorName(c.Request()),
			"kind", kind, "name", name, "version", version, "err", err)
		a.writeProblem(c, err)
		return
	}
	a.scope.Tagged(map[string]string{"kind": string(kind)}).Counter("objects_deleted").Inc(1)
	a.log.Info("object deleted", "operator", operatorName(c.Request()), "kind", kind, "name", name, "version", deletedVersion)
	c.StatusCode(http.StatusNoContent)
}

// deleteUnreferenced deletes the object if no other object refers to it, and
// returns the version that was deleted.
func (a *API) deleteUnreferenced(c iris.Context, kind api.Kind, name string, version objectclient.Revision) (objectclient.Revision, error) {
	ctx := c.Request().Context()
	current, err := a.store.Get(ctx, string(kind), name)
	if err != nil {
		return 0, translateReadError(err)
	}
	if version > 0 && current.Version != version {
		return 0, newConflict(version, toAPIObject(current))
	}
	view, err := readKinds(ctx, a.store, kindsForDelete(kind)...)
	if err != nil {
		return 0, translateReadError(err)
	}
	list := &findings.List{}
	checkReferrers(view, kind, name, list)
	if err := list.Err(); err != nil {
		return 0, err
	}
	// The deletion is conditional on the version that was just checked, even if
	// the operator accepts any version.
	err = a.store.Delete(ctx, string(kind), name, current.Version)
	if errors.Is(err, objectclient.ErrConflict) {
		latest, readErr := a.store.Get(ctx, string(kind), name)
		if readErr != nil && !errors.Is(readErr, objectclient.ErrNotFound) {
			return 0, translateReadError(readErr)
		}
		return 0, newConflict(current.Version, toAPIObject(latest))
	}
	if err != nil {
		return 0, translateWriteError(err)
	}
	return current.Version, nil
}

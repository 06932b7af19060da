package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"
	"github.com/kataras/iris/v12"

	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/findings"
	"rattantide/internal/objectclient"
)

func (a *API) putObject(c iris.Context) {
	stored, created, err := a.applyObject(c)
	if err != nil {
		a.scope.Counter("put_failed").Inc(1)
		a.writeProblem(c, err)
		return
	}
	status := http.StatusOK
	if created {
		status = http.StatusCreated
	}
	a.writeJSON(c, status, toAPIObject(stored))
}

// applyObject decodes, checks and stores the object in the request body, and
// applies it to this daemon's configuration. created reports whether the object
// is new.
func (a *API) applyObject(c iris.Context) (stored *objectclient.Object, created bool, err error) {
	ctx := c.Request().Context()
	body, err := a.readBody(c)
	if err != nil {
		return nil, false, err
	}
	obj, list := api.DecodeObject(body)
	checkPathMatches(c, obj, list)
	view, err := readKinds(ctx, a.store, kindsForPut(obj.Kind)...)
	if err != nil {
		return nil, false, translateReadError(err)
	}
	checkReferences(view, obj, list)
	if err := list.Err(); err != nil {
		return nil, false, err
	}
	obj.Status = nil // Only the system writes a status.
	if obj.Kind == api.KindVersionMove {
		stored, created, err = a.declareMove(ctx, view, obj)
	} else {
		stored, err = a.putVersion(ctx, obj)
		created = obj.Version == objectclient.MustNotExist
	}
	if err != nil {
		a.log.Warn("object change failed", "operator", operatorName(c.Request()),
			"kind", obj.Kind, "name", obj.Name, "version", obj.Version, "err", err)
		return nil, false, err
	}
	a.config.Apply(*stored)
	a.scope.Tagged(map[string]string{"kind": string(obj.Kind)}).Counter("objects_put").Inc(1)
	a.log.Info("object changed", "operator", operatorName(c.Request()),
		"kind", obj.Kind, "name", obj.Name, "version", stored.Version)
	return stored, created, nil
}

// putVersion stores obj on condition that the stored version is obj.Version.
func (a *API) putVersion(ctx context.Context, obj *api.Object) (*objectclient.Object, error) {
	value, err := obj.Value()
	if err != nil {
		return nil, errors.Trace(err)
	}
	stored, err := a.store.Put(ctx, string(obj.Kind), obj.Name, obj.Version, value)
	if errors.Is(err, objectclient.ErrConflict) {
		return nil, newConflict(obj.Version, toAPIObject(stored))
	}
	if err != nil {
		return nil, translateWriteError(err)
	}
	return stored, nil
}

// declareMove creates a move whose deadline is measured by the object API's
// clock. A declared move is immutable: putting the same spec again returns the
// stored move.
func (a *API) declareMove(ctx context.Context, view *configsync.View, obj *api.Object) (*objectclient.Object, bool, error) {
	if existing, ok := view.Objects[api.KindVersionMove][obj.Name]; ok {
		stored, err := checkMoveUnchanged(view.Moves[obj.Name].Spec, obj, &existing)
		return stored, false, err
	}
	if obj.Version > 0 {
		return nil, false, newConflict(obj.Version, nil)
	}
	// The estimate of the object API's time is recent, because it was updated by
	// the lists that were just read.
	now, ok := a.store.Now()
	if !ok {
		return nil, false, translateReadError(objectclient.ErrUnavailable)
	}
	spec, _ := obj.Typed.(*api.VersionMove)
	declared := now.UnixMilli()
	status, err := json.Marshal(&api.MoveStatus{
		Phase:      api.MoveRunning,
		DeclaredMs: declared,
		DeadlineMs: declared + spec.Deadline.AsDuration().Milliseconds(),
		Reason:     "declared",
	})
	if err != nil {
		return nil, false, errors.Trace(err)
	}
	obj.Status, obj.Version = status, objectclient.MustNotExist
	stored, err := a.putVersion(ctx, obj)
	if err != nil {
		return nil, false, err
	}
	return stored, true, a.resolveConcurrentMoves(ctx, spec.Pool, stored)
}

// resolveConcurrentMoves deletes the move if an older move of the same pool was
// declared concurrently through another daemon. All daemons treat the oldest
// move as the running one, so the newer one never took effect.
func (a *API) resolveConcurrentMoves(ctx context.Context, pool string, stored *objectclient.Object) error {
	view, err := readKinds(ctx, a.store, api.KindVersionMove)
	if err != nil {
		return translateWriteError(err)
	}
	running := view.RunningMove(pool)
	if running == nil || running.Version >= stored.Version {
		return nil
	}
	if err := a.store.Delete(ctx, stored.Kind, stored.Name, stored.Version); err != nil &&
		!errors.Is(err, objectclient.ErrNotFound) {
		return translateWriteError(err)
	}
	list := &findings.List{}
	list.Addf("spec.pool", "move %q of pool %q was declared at the same time and is running", running.Name, pool)
	return list.Err()
}

// checkMoveUnchanged returns stored if obj has the same spec, else an error.
func checkMoveUnchanged(existing *api.VersionMove, obj *api.Object, stored *objectclient.Object) (*objectclient.Object, error) {
	if obj.Version > 0 && obj.Version != stored.Version {
		return nil, newConflict(obj.Version, toAPIObject(stored))
	}
	existingSpec, _ := json.Marshal(existing)
	newSpec, _ := json.Marshal(obj.Typed)
	if bytes.Equal(existingSpec, newSpec) {
		return stored, nil
	}
	if obj.Version == objectclient.MustNotExist {
		return nil, newConflict(obj.Version, toAPIObject(stored))
	}
	list := &findings.List{}
	list.Addf("spec", "a declared move cannot be changed; declare another one under a new name when it has ended")
	return nil, list.Err()
}

// checkPathMatches adds a finding if the kind or the name in the body differs
// from the one in the path.
func checkPathMatches(c iris.Context, obj *api.Object, list *findings.List) {
	if kind := c.Params().Get("kind"); obj.Kind != "" && string(obj.Kind) != kind {
		list.Addf("kind", "%q differs from %q in the path", obj.Kind, kind)
	}
	if name := c.Params().Get("name"); obj.Name != "" && obj.Name != name {
		list.Addf("name", "%q differs from %q in the path", obj.Name, name)
	}
}

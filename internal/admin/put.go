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

func (a *API) put(c iris.Context) {
	stored, created, err := a.change(c)
	if err != nil {
		a.scope.Counter("put_failed").Inc(1)
		a.fail(c, err)
		return
	}
	status := http.StatusOK
	if created {
		status = http.StatusCreated
	}
	a.answer(c, status, envelope(stored))
}

func (a *API) change(c iris.Context) (stored *objectclient.Object, created bool, err error) {
	ctx := c.Request().Context()
	body, err := a.readBody(c)
	if err != nil {
		return nil, false, err
	}
	obj, list := api.DecodeObject(body)
	checkPath(c, obj, list)
	view, err := readKinds(ctx, a.store, kindsForPut(obj.Kind)...)
	if err != nil {
		return nil, false, readError(err)
	}
	checkReferences(view, obj, list)
	if err := list.Err(); err != nil {
		return nil, false, err
	}
	obj.Status = nil // Only the system writes a status.
	if obj.Kind == api.KindVersionMove {
		stored, created, err = a.declareMove(ctx, view, obj)
	} else {
		stored, err = a.write(ctx, obj)
		created = obj.Version == objectclient.MustNotExist
	}
	if err != nil {
		a.log.Warn("object not changed", "operator", operatorName(c.Request()),
			"kind", obj.Kind, "name", obj.Name, "version", obj.Version, "err", err)
		return nil, false, err
	}
	a.config.Apply(*stored)
	a.scope.Tagged(map[string]string{"kind": string(obj.Kind)}).Counter("objects_put").Inc(1)
	a.log.Info("object changed", "operator", operatorName(c.Request()),
		"kind", obj.Kind, "name", obj.Name, "version", stored.Version)
	return stored, created, nil
}

// write stores obj on the condition that its version is still the one read.
func (a *API) write(ctx context.Context, obj *api.Object) (*objectclient.Object, error) {
	value, err := obj.Value()
	if err != nil {
		return nil, errors.Trace(err)
	}
	stored, err := a.store.Put(ctx, string(obj.Kind), obj.Name, obj.Version, value)
	if errors.Is(err, objectclient.ErrConflict) {
		return nil, newConflict(obj.Version, envelope(stored))
	}
	if err != nil {
		return nil, writeError(err)
	}
	return stored, nil
}

// declareMove creates a move with its deadline in the store's time. A declared
// move is never changed: putting the same spec again returns it as it is.
func (a *API) declareMove(ctx context.Context, view *configsync.View, obj *api.Object) (*objectclient.Object, bool, error) {
	if held, ok := view.Objects[api.KindVersionMove][obj.Name]; ok {
		stored, err := unchangedMove(view.Moves[obj.Name].Spec, obj, &held)
		return stored, false, err
	}
	if obj.Version > 0 {
		return nil, false, newConflict(obj.Version, nil)
	}
	// The lists that were just read make the estimate of the store's time fresh.
	now, ok := a.store.Now()
	if !ok {
		return nil, false, readError(objectclient.ErrUnavailable)
	}
	spec, _ := obj.Typed.(*api.VersionMove)
	declared := now.UnixMilli()
	status, err := json.Marshal(&api.MoveStatus{
		Phase:      api.MoveRunning,
		DeclaredMs: declared,
		ByMs:       declared + spec.Deadline.D().Milliseconds(),
		Reason:     "declared",
	})
	if err != nil {
		return nil, false, errors.Trace(err)
	}
	obj.Status, obj.Version = status, objectclient.MustNotExist
	stored, err := a.write(ctx, obj)
	if err != nil {
		return nil, false, err
	}
	return stored, true, a.settleRace(ctx, spec.Pool, stored)
}

// settleRace takes the move back if an older one of the same pool was declared
// at the same time through another daemon. All daemons treat the oldest as the
// running one, so the younger never had an effect.
func (a *API) settleRace(ctx context.Context, pool string, stored *objectclient.Object) error {
	view, err := readKinds(ctx, a.store, api.KindVersionMove)
	if err != nil {
		return writeError(err)
	}
	running := view.MoveFor(pool)
	if running == nil || running.Version >= stored.Version {
		return nil
	}
	if err := a.store.Delete(ctx, stored.Kind, stored.Name, stored.Version); err != nil &&
		!errors.Is(err, objectclient.ErrNotFound) {
		return writeError(err)
	}
	list := &findings.List{}
	list.Addf("spec.pool", "move %q of pool %q was declared at the same time and is running", running.Name, pool)
	return list.Err()
}

func unchangedMove(held *api.VersionMove, obj *api.Object, stored *objectclient.Object) (*objectclient.Object, error) {
	if obj.Version > 0 && obj.Version != stored.Version {
		return nil, newConflict(obj.Version, envelope(stored))
	}
	before, _ := json.Marshal(held)
	after, _ := json.Marshal(obj.Typed)
	if bytes.Equal(before, after) {
		return stored, nil
	}
	if obj.Version == objectclient.MustNotExist {
		return nil, newConflict(obj.Version, envelope(stored))
	}
	list := &findings.List{}
	list.Addf("spec", "a declared move cannot be changed; declare another one under a new name when it has ended")
	return nil, list.Err()
}

// checkPath records a body whose kind or name differs from the path's.
func checkPath(c iris.Context, obj *api.Object, list *findings.List) {
	if kind := c.Params().Get("kind"); obj.Kind != "" && string(obj.Kind) != kind {
		list.Addf("kind", "%q differs from %q in the path", obj.Kind, kind)
	}
	if name := c.Params().Get("name"); obj.Name != "" && obj.Name != name {
		list.Addf("name", "%q differs from %q in the path", obj.Name, name)
	}
}

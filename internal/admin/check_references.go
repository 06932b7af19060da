package admin

import (
	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/findings"
)

// checkReferences adds a finding for every reference of obj to a missing object, and
// for every conflict of obj with another object.
func checkReferences(view *configsync.View, obj *api.Object, list *findings.List) {
	switch spec := obj.Typed.(type) {
	case *api.Workspace:
		checkWorkspace(view, obj.Name, spec, list)
	case *api.Route:
		checkRoute(view, obj.Name, spec, list)
	case *api.Pool:
		checkPool(view, obj.Name, spec, list)
	case *api.Version:
		checkVersion(view, obj.Name, spec, list)
	case *api.VersionMove:
		checkMove(view, obj.Name, spec, list)
	}
}

func checkWorkspace(view *configsync.View, name string, spec *api.Workspace, list *findings.List) {
	for i, class := range spec.Classes {
		if view.Classes[class] == nil {
			list.Addf(indexedPath("spec.classes", i), "class %q does not exist", class)
		}
	}
	for otherName, w := range view.Workspaces {
		if otherName != name && w.TokenHash == spec.TokenHash {
			list.Addf("spec.tokenHash", "is the token of workspace %q already", otherName)
		}
	}
}

func checkRoute(view *configsync.View, name string, spec *api.Route, list *findings.List) {
	pool := view.Pools[spec.Pool]
	if pool == nil && spec.Pool != "" {
		list.Addf("spec.pool", "pool %q does not exist", spec.Pool)
	}
	if spec.Class != "" && view.Classes[spec.Class] == nil {
		list.Addf("spec.class", "class %q does not exist", spec.Class)
	}
	if pool != nil && spec.Model != "" && pool.Type != api.PoolChat {
		list.Addf("spec.pool", "pool %q has type %q; a route with a model needs %q", spec.Pool, pool.Type, api.PoolChat)
	}
	if pool != nil && spec.Prefix != "" && pool.Type != api.PoolService {
		list.Addf("spec.pool", "pool %q has type %q; a route with a prefix needs %q", spec.Pool, pool.Type, api.PoolService)
	}
	for otherName, r := range view.Routes {
		if otherName == name {
			continue
		}
		if spec.Model != "" && r.Model == spec.Model {
			list.Addf("spec.model", "%q is taken by route %q", spec.Model, otherName)
		}
		if spec.Prefix != "" && r.Prefix == spec.Prefix {
			list.Addf("spec.prefix", "%q is taken by route %q", spec.Prefix, otherName)
		}
	}
}

func checkPool(view *configsync.View, name string, spec *api.Pool, list *findings.List) {
	existing := view.Pools[name]
	if existing == nil {
		return
	}
	if move := view.RunningMove(name); move != nil && existing.Version != spec.Version {
		list.Addf("spec.version", "cannot change while move %q is running", move.Name)
	}
	if existing.Type != spec.Type {
		list.Addf("spec.type", "cannot change from %q", existing.Type)
	}
}

func checkVersion(view *configsync.View, name string, spec *api.Version, list *findings.List) {
	if spec.Pool != "" && view.Pools[spec.Pool] == nil {
		list.Addf("spec.pool", "pool %q does not exist", spec.Pool)
	}
	existing := view.Versions[name]
	if existing != nil && existing.Pool != spec.Pool {
		referrers := &findings.List{}
		checkVersionReferrers(view, name, referrers)
		for _, f := range referrers.Items() {
			list.Addf("spec.pool", "cannot change from %q: %s", existing.Pool, f)
		}
	}
}

func checkMove(view *configsync.View, name string, spec *api.VersionMove, list *findings.List) {
	if view.Moves[name] != nil {
		return // checkMoveUnchanged refuses updates that change the spec.
	}
	if spec.Pool == "" {
		return
	}
	if view.Pools[spec.Pool] == nil {
		list.Addf("spec.pool", "pool %q does not exist", spec.Pool)
	}
	checkMoveVersion(view, spec.Pool, spec.From, "spec.from", list)
	checkMoveVersion(view, spec.Pool, spec.To, "spec.to", list)
	if effective := view.EffectiveVersion(spec.Pool); effective != "" && spec.From != "" && spec.From != effective {
		list.Addf("spec.from", "%q is not the version in effect, which is %q", spec.From, effective)
	}
	if running := view.RunningMove(spec.Pool); running != nil {
		list.Addf("spec.pool", "move %q of pool %q is still running", running.Name, spec.Pool)
	}
}

func checkMoveVersion(view *configsync.View, pool, version, path string, list *findings.List) {
	if version == "" {
		return
	}
	v := view.Versions[version]
	switch {
	case v == nil:
		list.Addf(path, "version %q does not exist", version)
	case v.Pool != pool:
		list.Addf(path, "version %q belongs to pool %q", version, v.Pool)
	}
}

package admin

import (
	"fmt"
	"sort"

	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/findings"
)

// checkUsers records what still refers to the object that is to be deleted.
func checkUsers(view *configsync.View, kind api.Kind, name string, list *findings.List) {
	switch kind {
	case api.KindClass:
		classUsers(view, name, list)
	case api.KindPool:
		poolUsers(view, name, list)
	case api.KindVersion:
		versionUsers(view, name, list)
	case api.KindVersionMove:
		checkMoveDeletion(view, name, list)
	}
}

func classUsers(view *configsync.View, name string, list *findings.List) {
	for _, route := range sortedNames(view.Routes) {
		if view.Routes[route].Class == name {
			list.Addf("Route/"+route+".spec.class", "refers to class %q", name)
		}
	}
	for _, workspace := range sortedNames(view.Workspaces) {
		for i, class := range view.Workspaces[workspace].Classes {
			if class == name {
				list.Addf(indexed("Workspace/"+workspace+".spec.classes", i), "refers to class %q", name)
			}
		}
	}
}

func poolUsers(view *configsync.View, name string, list *findings.List) {
	for _, route := range sortedNames(view.Routes) {
		if view.Routes[route].Pool == name {
			list.Addf("Route/"+route+".spec.pool", "refers to pool %q", name)
		}
	}
	for _, version := range sortedNames(view.Versions) {
		if view.Versions[version].Pool == name {
			list.Addf("Version/"+version+".spec.pool", "refers to pool %q", name)
		}
	}
	if move := view.MoveFor(name); move != nil {
		list.Addf("VersionMove/"+move.Name+".spec.pool", "is running in pool %q", name)
	}
}

// versionUsers records a pool only while a route leads to it. A pool and its
// versions refer to each other, so without this neither could be deleted first.
func versionUsers(view *configsync.View, name string, list *findings.List) {
	for _, pool := range sortedNames(view.Pools) {
		if !hasRoute(view, pool) {
			continue
		}
		switch {
		case view.EffectiveVersion(pool) == name:
			list.Addf("Pool/"+pool, "has version %q in effect", name)
		case view.Pools[pool].Version == name:
			list.Addf("Pool/"+pool+".spec.version", "refers to version %q", name)
		}
	}
	for _, move := range sortedNames(view.Moves) {
		m := view.Moves[move]
		if !m.Ended() && (m.Spec.From == name || m.Spec.To == name) {
			list.Addf("VersionMove/"+move, "is running and refers to version %q", name)
		}
	}
}

// checkMoveDeletion refuses to delete a running move, because nobody would be
// left to finish or undo it, and a done move that the pool object does not
// reflect yet, because its deletion would change the version in effect.
func checkMoveDeletion(view *configsync.View, name string, list *findings.List) {
	move := view.Moves[name]
	if move == nil {
		return
	}
	path := "VersionMove/" + name
	if !move.Ended() {
		list.Addf(path, "is running; it ends by its deadline at the latest")
		return
	}
	pool := view.Pools[move.Spec.Pool]
	if pool == nil || move.Status.Phase != api.MoveDone {
		return
	}
	if effective := view.EffectiveVersion(move.Spec.Pool); effective != pool.Version {
		list.Addf(path, "carries the version in effect of pool %q; set spec.version of the pool to %q first",
			move.Spec.Pool, effective)
	}
}

func hasRoute(view *configsync.View, pool string) bool {
	for _, route := range view.Routes {
		if route.Pool == pool {
			return true
		}
	}
	return false
}

func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func indexed(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

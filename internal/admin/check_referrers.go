package admin

import (
	"fmt"
	"sort"

	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/findings"
)

// checkReferrers adds a finding for everything that prevents the deletion of the
// object: the objects that refer to it, or the state of a move.
func checkReferrers(view *configsync.View, kind api.Kind, name string, list *findings.List) {
	switch kind {
	case api.KindClass:
		checkClassReferrers(view, name, list)
	case api.KindPool:
		checkPoolReferrers(view, name, list)
	case api.KindVersion:
		checkVersionReferrers(view, name, list)
	case api.KindVersionMove:
		checkMoveDeletion(view, name, list)
	}
}

func checkClassReferrers(view *configsync.View, name string, list *findings.List) {
	for _, route := range sortedNames(view.Routes) {
		if view.Routes[route].Class == name {
			list.Addf("Route/"+route+".spec.class", "refers to class %q", name)
		}
	}
	for _, workspace := range sortedNames(view.Workspaces) {
		for i, class := range view.Workspaces[workspace].Classes {
			if class == name {
				list.Addf(indexedPath("Workspace/"+workspace+".spec.classes", i), "refers to class %q", name)
			}
		}
	}
}

func checkPoolReferrers(view *configsync.View, name string, list *findings.List) {
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
	if move := view.RunningMove(name); move != nil {
		list.Addf("VersionMove/"+move.Name+".spec.pool", "is running in pool %q", name)
	}
}

// checkVersionReferrers adds findings for pools and running moves that refer to
// the version. A pool counts only if a route refers to it: a pool and its
// versions refer to each other, so without this exception neither could be
// deleted first.
func checkVersionReferrers(view *configsync.View, name string, list *findings.List) {
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
	for _, moveName := range sortedNames(view.Moves) {
		move := view.Moves[moveName]
		if !move.Ended() && (move.Spec.From == name || move.Spec.To == name) {
			list.Addf("VersionMove/"+moveName, "is running and refers to version %q", name)
		}
	}
}

// checkMoveDeletion adds a finding if the move must not be deleted. A running
// move would be neither completed nor rolled back after its deletion. The
// deletion of a completed move that the pool object does not reflect yet would
// change the version in effect.
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

func indexedPath(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

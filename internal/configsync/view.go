package configsync

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"

	"rattantide/internal/api"
	"rattantide/internal/objectclient"
)

// View is the configuration at a revision. It is immutable and safe for
// concurrent use.
type View struct {
	// Revision is the highest object version that the view contains.
	Revision objectclient.Revision
	// Objects holds every object by kind and name, as stored.
	Objects map[api.Kind]map[string]objectclient.Object

	Classes    map[string]*api.Class
	Workspaces map[string]*api.Workspace
	Routes     map[string]*api.Route
	Pools      map[string]*api.Pool
	Versions   map[string]*api.Version
	Moves      map[string]*Move

	byModel  map[string]string
	byPrefix map[string]string
	byToken  map[string]string
}

// RouteForModel returns the name and the route for a model, or "" and nil.
func (v *View) RouteForModel(model string) (string, *api.Route) {
	name := v.byModel[model]
	return name, v.Routes[name]
}

// RouteForPrefix returns the name and the route for the first segment of a path, or
// "" and nil.
func (v *View) RouteForPrefix(prefix string) (string, *api.Route) {
	name := v.byPrefix[prefix]
	return name, v.Routes[name]
}

// WorkspaceForToken returns the name and the workspace for a token, or "" and nil. The
// token is hashed before the lookup, so the timing of the comparison reveals nothing
// about valid tokens.
func (v *View) WorkspaceForToken(token string) (string, *api.Workspace) {
	sum := sha256.Sum256([]byte(token))
	name := v.byToken[hex.EncodeToString(sum[:])]
	return name, v.Workspaces[name]
}

// RunningMove returns the running move of a pool, or nil. If there are several, which
// validation prevents, it returns the one with the lowest object version.
func (v *View) RunningMove(pool string) *Move {
	var oldest *Move
	for _, m := range v.Moves {
		if m.Spec.Pool != pool || m.Ended() {
			continue
		}
		if oldest == nil || m.Version < oldest.Version {
			oldest = m
		}
	}
	return oldest
}

// EffectiveVersion returns the version that serves a pool if a running move is
// disregarded: the version in the pool object, or the target of a completed move that
// is not yet recorded in the pool object. It returns "" for an unknown pool.
func (v *View) EffectiveVersion(pool string) string {
	p := v.Pools[pool]
	if p == nil {
		return ""
	}
	version := p.Version
	completed := make([]*Move, 0, len(v.Moves))
	for _, m := range v.Moves {
		if m.Spec.Pool == pool && m.Status != nil && m.Status.Phase == api.MoveDone {
			completed = append(completed, m)
		}
	}
	poolVersion := v.Objects[api.KindPool][pool].Version
	sort.Slice(completed, func(i, j int) bool { return completed[i].Version < completed[j].Version })
	for _, m := range completed {
		// A pool object that was written after the move ended already contains its
		// result.
		if m.Spec.From == version && m.Version > poolVersion {
			version = m.Spec.To
		}
	}
	return version
}

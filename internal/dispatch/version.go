package dispatch

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/membership"
)

// wanted is the order in which versions may serve a request.
type wanted struct {
	// first is preferred; "" means any version.
	first string
	// second may serve when first has no usable upstream; "" means none.
	second string
	// move is the running move of the pool, or nil.
	move *configsync.Move
	// newAllowed says that the move's new version may get traffic.
	newAllowed bool
}

// InShare reports whether a request belongs to the share of requests that go
// to the new version. It is the same on every daemon, and a request that is
// within a share stays within every larger one.
func InShare(move, requestID string, share float64) bool {
	if share <= 0 {
		return false
	}
	if share >= 1 {
		return true
	}
	h := xxhash.New()
	_, _ = h.WriteString(move)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(requestID)
	return float64(h.Sum64())/math.MaxUint64 < share
}

// versionFor decides which version serves a request.
func versionFor(view *configsync.View, moves Moves, r *Request) wanted {
	m := view.MoveFor(r.Pool)
	if m == nil {
		return wanted{first: view.EffectiveVersion(r.Pool)}
	}
	share := moves.Share(m)
	w := wanted{first: m.Spec.From, move: m, newAllowed: share > 0}
	if InShare(m.Name, r.ID, share) {
		w.first, w.second = m.Spec.To, m.Spec.From
	} else if share >= 1 {
		w.second = m.Spec.To
	}
	return w
}

// refused reports whether a version of a pool must get no work: the latest move
// to it was undone, and it is not in effect.
func refused(view *configsync.View, pool, version string) bool {
	if version == "" || version == view.EffectiveVersion(pool) {
		return false
	}
	var latest *configsync.Move
	for _, m := range view.Moves {
		if m.Spec.Pool == pool && m.Spec.To == version && (latest == nil || m.Version > latest.Version) {
			latest = m
		}
	}
	return latest != nil && latest.Status != nil && latest.Status.Phase == api.MoveUndone
}

// usable filters upstreams by version and exclusion. The slice is shared with
// other readers of the membership table and is not changed. Without an upstream
// of the wanted versions, and outside a move, it takes any version that was not
// taken back: an answer of the previous version is better than none.
func usable(view *configsync.View, w wanted, r *Request, upstreams []membership.Upstream) []membership.Upstream {
	kept := upstreams
	if len(r.Exclude) > 0 {
		kept = withoutExcluded(upstreams, r.Exclude)
	}
	if r.PinVersion != "" && !refused(view, r.Pool, r.PinVersion) && pinAllowed(w, r.PinVersion) {
		if found := ofVersion(kept, r.PinVersion); len(found) > 0 {
			return found
		}
	}
	if w.first == "" {
		return kept
	}
	if found := ofVersion(kept, w.first); len(found) > 0 {
		return found
	}
	if w.second != "" {
		return ofVersion(kept, w.second)
	}
	if w.move != nil {
		return ofVersion(kept, "")
	}
	rest := make([]membership.Upstream, 0, len(kept))
	for i := range kept {
		if !refused(view, r.Pool, kept[i].Version) {
			rest = append(rest, kept[i])
		}
	}
	return rest
}

func withoutExcluded(upstreams []membership.Upstream, names []string) []membership.Upstream {
	kept := make([]membership.Upstream, 0, len(upstreams))
	for i := range upstreams {
		if !excluded(names, upstreams[i].Name) {
			kept = append(kept, upstreams[i])
		}
	}
	return kept
}

// pinAllowed forbids a pin to the new version of a running move once it may
// get no traffic.
func pinAllowed(w wanted, pin string) bool {
	return w.move == nil || pin != w.move.Spec.To || w.newAllowed
}

func ofVersion(upstreams []membership.Upstream, version string) []membership.Upstream {
	if allOf(upstreams, version) {
		return upstreams
	}
	found := make([]membership.Upstream, 0, len(upstreams))
	for i := range upstreams {
		if upstreams[i].Version == version {
			found = append(found, upstreams[i])
		}
	}
	return found
}

// allOf saves the copy in the usual case, in which a pool has one version.
func allOf(upstreams []membership.Upstream, version string) bool {
	for i := range upstreams {
		if upstreams[i].Version != version {
			return false
		}
	}
	return true
}

func excluded(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

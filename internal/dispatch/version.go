package dispatch

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/membership"
)

// versionPreference states which versions may serve a request, in order of
// preference.
type versionPreference struct {
	// preferred is the version to use if possible; "" means any version.
	preferred string
	// fallback is used when the preferred version has no usable upstream; ""
	// means none.
	fallback string
	// move is the running move of the pool, or nil.
	move *configsync.Move
	// newVersionAllowed reports whether the move's new version may receive
	// traffic.
	newVersionAllowed bool
}

// InShare reports whether a request belongs to the share of requests that are
// sent to the new version of a move. The result is the same on every daemon,
// and a request within a share is also within every larger share.
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

// versionPreferenceFor returns the versions that may serve a request, according
// to the running move of its pool.
func versionPreferenceFor(view *configsync.View, moves Moves, r *Request) versionPreference {
	m := view.RunningMove(r.Pool)
	if m == nil {
		return versionPreference{preferred: view.EffectiveVersion(r.Pool)}
	}
	share := moves.Share(m)
	preference := versionPreference{preferred: m.Spec.From, move: m, newVersionAllowed: share > 0}
	if routeShare, ok := m.RouteShares[r.Route]; ok && preference.newVersionAllowed {
		share = routeShare
	}
	if InShare(m.Name, r.ID, share) {
		preference.preferred, preference.fallback = m.Spec.To, m.Spec.From
	} else if share >= 1 {
		preference.fallback = m.Spec.To
	}
	return preference
}

// isUndone reports whether a version of a pool must receive no requests: the
// latest move to it was undone, and it is not in effect.
func isUndone(view *configsync.View, pool, version string) bool {
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

// usableUpstreams filters upstreams by version and exclusion. The slice is
// shared with other readers of the membership table and is not modified. When
// no upstream has a preferred version and no move is running, upstreams of any
// version that was not undone are returned: an answer of the previous version
// is better than none.
func usableUpstreams(view *configsync.View, preference versionPreference, r *Request, upstreams []membership.Upstream) []membership.Upstream {
	remaining := upstreams
	if len(r.Exclude) > 0 {
		remaining = withoutExcluded(upstreams, r.Exclude)
	}
	if r.PinVersion != "" && !isUndone(view, r.Pool, r.PinVersion) && isPinAllowed(preference, r.PinVersion) {
		if matching := filterByVersion(remaining, r.PinVersion); len(matching) > 0 {
			return matching
		}
	}
	if preference.preferred == "" {
		return remaining
	}
	if matching := filterByVersion(remaining, preference.preferred); len(matching) > 0 {
		return matching
	}
	if preference.fallback != "" {
		return filterByVersion(remaining, preference.fallback)
	}
	if preference.move != nil {
		return filterByVersion(remaining, "")
	}
	notUndone := make([]membership.Upstream, 0, len(remaining))
	for i := range remaining {
		if !isUndone(view, r.Pool, remaining[i].Version) {
			notUndone = append(notUndone, remaining[i])
		}
	}
	return notUndone
}

func withoutExcluded(upstreams []membership.Upstream, names []string) []membership.Upstream {
	remaining := make([]membership.Upstream, 0, len(upstreams))
	for i := range upstreams {
		if !containsName(names, upstreams[i].Name) {
			remaining = append(remaining, upstreams[i])
		}
	}
	return remaining
}

// isPinAllowed reports whether a request may be pinned to a version. A pin to
// the new version of a running move is ignored once that version may receive no
// traffic.
func isPinAllowed(preference versionPreference, pin string) bool {
	return preference.move == nil || pin != preference.move.Spec.To || preference.newVersionAllowed
}

func filterByVersion(upstreams []membership.Upstream, version string) []membership.Upstream {
	if allHaveVersion(upstreams, version) {
		return upstreams
	}
	matching := make([]membership.Upstream, 0, len(upstreams))
	for i := range upstreams {
		if upstreams[i].Version == version {
			matching = append(matching, upstreams[i])
		}
	}
	return matching
}

// allHaveVersion reports whether all upstreams have the version. It avoids a
// copy in the usual case of a pool with a single version.
func allHaveVersion(upstreams []membership.Upstream, version string) bool {
	for i := range upstreams {
		if upstreams[i].Version != version {
			return false
		}
	}
	return true
}

func containsName(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

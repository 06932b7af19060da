package versionmove

import (
	"slices"
	"time"

	"rattantide/internal/membership"
)

// maxRefused bounds the number of refused versions that a state names.
const maxRefused = 8

// serving returns the version that serves a service in this state: the latest that was
// accepted.
func (s State) serving() string {
	if s.Phase == PhaseDone {
		return s.To
	}
	return s.From
}

// isInPlace reports whether the version that was ordered serves already.
func (s State) isInPlace() bool { return s.From != "" && s.From == s.To }

// isOf reports whether s is the state of a declared move. The same version with another time
// limit is a new move.
func (s State) isOf(d Declaration) bool {
	if s.To != d.To {
		return false
	}
	within := time.Duration(s.DeadlineMs-s.StartedMs) * time.Millisecond
	return s.StartedMs == 0 || (within-d.Within).Abs() <= time.Millisecond
}

// next returns the first state of a declared move that follows s, which is the state of the
// service's previous move or empty. ok is false if no version is known that the service
// could move from.
func (s State) next(d Declaration, upstreams []membership.Instance, now time.Time) (next State, ok bool) {
	refused := s.refusedAfter(d.To)
	from := sourceVersion(s.serving(), refused, liveVersions(upstreams, d.Service), d.To)
	if from == "" {
		return State{}, false
	}
	return State{
		Service: d.Service, From: from, To: d.To, Phase: PhaseRunning, Refused: refused,
		DeadlineMs: now.Add(d.Within).UnixMilli(), StartedMs: now.UnixMilli(),
	}, true
}

// refusedAfter returns the refused versions after an order of version to.
func (s State) refusedAfter(to string) []string {
	refused := slices.Clone(s.Refused)
	if s.Phase == PhaseUndone && !slices.Contains(refused, s.To) {
		refused = append(refused, s.To)
	}
	refused = slices.DeleteFunc(refused, func(version string) bool { return version == to || version == s.serving() })
	return refused[max(0, len(refused)-maxRefused):]
}

// sourceVersion returns the version that a service moves from: the one that serves it,
// although it may be to itself, or else the one that most live upstreams have and that was
// not refused. If live upstreams of no other version exist, it is to for a service that has
// moved before, and unknown ("") for others.
func sourceVersion(serving string, refused []string, live map[string]int, to string) string {
	if serving != "" && live[serving] > 0 {
		return serving
	}
	if from := mostCommon(live, append(slices.Clone(refused), to)); from != "" {
		return from
	}
	if serving != "" && live[to] > 0 {
		return to
	}
	return ""
}

// mostCommon returns the version with the highest count that is not excluded, of equal ones
// the first by name, or "".
func mostCommon(counts map[string]int, excluded []string) string {
	best := ""
	for version, count := range counts {
		if version == "" || count == 0 || slices.Contains(excluded, version) {
			continue
		}
		if best == "" || count > counts[best] || count == counts[best] && version < best {
			best = version
		}
	}
	return best
}

// liveVersions returns the number of live upstreams of a service by version.
func liveVersions(upstreams []membership.Instance, service string) map[string]int {
	counts := map[string]int{}
	for _, u := range upstreams {
		if u.Pool == service && u.State == membership.StateLive {
			counts[u.Version]++
		}
	}
	return counts
}

// routed returns the state by which requests are routed when the serving version has no
// upstreams left: the new version of a running move then gets all requests, or else the
// version that most upstreams have and that was not refused. staying holds the number of
// upstreams that are not leaving by version.
func (s State) routed(staying map[string]int) State {
	if staying[s.serving()] > 0 {
		return s
	}
	if s.Phase == PhaseRunning && staying[s.To] > 0 {
		s.Share = 1
		return s
	}
	if substitute := mostCommon(staying, s.refusedAfter("")); substitute != "" {
		s.From = substitute
	}
	return s
}

package orders

import (
	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/membership"
)

// target is the wanted state of a pool: which versions its engines may serve,
// and the one to which any other engine is ordered.
type target struct {
	effective string
	// allowed holds the versions at which engines are left alone.
	allowed map[string]bool
}

// targetOf returns the wanted state of a pool. Engines of both versions of a
// running move are left alone.
func targetOf(view *configsync.View, pool string, upstreams []membership.Upstream) target {
	t := target{effective: view.EffectiveVersion(pool)}
	t.allowed = map[string]bool{t.effective: true}
	if m := view.MoveFor(pool); m != nil {
		t.allowed[m.Spec.From], t.allowed[m.Spec.To] = true, true
	}
	count := map[string]int{}
	for i := range upstreams {
		if u := &upstreams[i]; !u.Leaving && u.Load != nil {
			count[u.Load.Version]++
		}
	}
	for version, n := range count {
		// An operator who changes the pool's version by hand leaves the old
		// one in the majority; it must not pass for a staged one.
		if staged(view, pool, version) && n <= count[t.effective] {
			t.allowed[version] = true
		}
	}
	return t
}

// staged reports whether a version waits for its move: it is declared for the
// pool, and no move from or to it has ended. Engines of such a version were
// started by the operator for the move, which could not start without them.
func staged(view *configsync.View, pool, version string) bool {
	declared := view.Versions[version]
	if declared == nil || declared.Pool != pool {
		return false
	}
	for _, m := range view.Moves {
		if m.Spec.Pool == pool && m.Ended() && (m.Spec.From == version || m.Spec.To == version) {
			return false
		}
	}
	return true
}

// outOfPlace reports whether an engine is known to serve a version that it
// should not. Only its load report tells what it serves.
func (t target) outOfPlace(u *membership.Upstream) bool {
	return t.effective != "" && !u.Leaving && u.Load != nil && u.Load.Version != "" && !t.allowed[u.Load.Version]
}

// idle reports whether a load report shows an engine that can be ordered to
// load: nothing runs or waits, and it is not leaving.
func idle(load *membership.Load) bool {
	return load.Running == 0 && load.Waiting == 0 && !load.Draining
}

// chatPools returns the pools that have engines.
func chatPools(view *configsync.View) map[string]*api.Pool {
	out := map[string]*api.Pool{}
	for name, pool := range view.Pools {
		if pool.Type == api.PoolChat {
			out[name] = pool
		}
	}
	return out
}

package fleetdaemon

import (
	"sync/atomic"

	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/dispatch"
	"rattantide/internal/fleetconfig"
	"rattantide/internal/versionmove"
)

// viewSource implements dispatch.Config: it converts the configuration to a view with
// one class per route, as targets are set per route. It is safe for concurrent use.
type viewSource struct {
	holder *fleetconfig.Holder
	moves  func() map[string]versionmove.State
	cached atomic.Pointer[cachedView]
}

type cachedView struct {
	config *fleetconfig.Config
	view   *configsync.View
}

// invalidate discards the cached view, so that Snapshot builds a new one.
func (v *viewSource) invalidate() { v.cached.Store(nil) }

// Snapshot implements dispatch.Config.
func (v *viewSource) Snapshot() *configsync.View {
	config, _ := v.holder.Current()
	if cached := v.cached.Load(); cached != nil && cached.config == config {
		return cached.view
	}
	view := &configsync.View{Classes: map[string]*api.Class{}, Moves: map[string]*configsync.Move{}}
	for service, s := range v.moves() {
		view.Moves[service] = newMove(s)
	}
	if config != nil {
		for _, r := range config.Routes {
			view.Classes[r.Name] = newClass(r)
		}
	}
	v.cached.Store(&cachedView{config: config, view: view})
	return view
}

// newMove returns a running move, so that the dispatcher enforces its share. A move
// that has ended stays enforced while upstreams of both versions exist: those of the
// losing version still serve for some seconds.
func newMove(s versionmove.State) *configsync.Move {
	return &configsync.Move{
		Name:   s.Service + "/" + s.To,
		Spec:   &api.VersionMove{Pool: s.Service, From: s.From, To: s.To},
		Status: &api.MoveStatus{Phase: api.MoveRunning, Share: s.Share}, RouteShares: s.RouteShares,
	}
}

func newClass(r *fleetconfig.Route) *api.Class {
	priority := dispatch.PriorityFromUrgency(r.Urgency)
	repeatable := r.Repeatable()
	class := &api.Class{Deadline: api.Duration(r.Timeout), Priority: &priority, Idempotent: &repeatable}
	if r.Kind == fleetconfig.Stream {
		class.Target.FirstToken = api.Duration(r.Target)
	} else {
		class.Target.Answer = api.Duration(r.Target)
	}
	return class
}

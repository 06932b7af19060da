package fleetdaemon

import (
	"sync/atomic"

	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/dispatch"
	"rattantide/internal/fleetconfig"
	"rattantide/internal/versionmove"
)

// viewSource gives the dispatcher the configuration as a view: a class for each
// route, as a route's targets are those of its calls.
type viewSource struct {
	holder *fleetconfig.Holder
	moves  func() map[string]versionmove.State
	cached atomic.Pointer[cachedView]
}

type cachedView struct {
	config *fleetconfig.Config
	view   *configsync.View
}

// reset makes the next view be built anew.
func (v *viewSource) reset() { v.cached.Store(nil) }

// Snapshot implements dispatch.Config.
func (v *viewSource) Snapshot() *configsync.View {
	config, _ := v.holder.Current()
	if cached := v.cached.Load(); cached != nil && cached.config == config {
		return cached.view
	}
	view := &configsync.View{Classes: map[string]*api.Class{}, Moves: map[string]*configsync.Move{}}
	for service, s := range v.moves() {
		view.Moves[service] = moveOf(s)
	}
	if config != nil {
		view.Revision = config.Version
		for _, r := range config.Routes {
			view.Classes[r.Name] = classOf(r)
		}
	}
	v.cached.Store(&cachedView{config: config, view: view})
	return view
}

// moveOf returns a move whose share is enforced. One that ended stays enforced
// while upstreams of both versions are there: the losing ones still serve for some
// seconds.
func moveOf(s versionmove.State) *configsync.Move {
	return &configsync.Move{
		Name:   s.Service + "/" + s.To,
		Spec:   &api.VersionMove{Pool: s.Service, From: s.From, To: s.To},
		Status: &api.MoveStatus{Phase: api.MoveRunning, Share: s.Share},
	}
}

func classOf(r *fleetconfig.Route) *api.Class {
	priority := dispatch.PriorityOf(r.Urgency)
	repeatable := r.Repeatable()
	class := &api.Class{Deadline: api.Duration(r.Timeout), Priority: &priority, Idempotent: &repeatable}
	if r.Kind == fleetconfig.Stream {
		class.Target.FirstToken = api.Duration(r.Target)
	} else {
		class.Target.Answer = api.Duration(r.Target)
	}
	return class
}

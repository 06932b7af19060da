package fleetdaemon

import (
	"sync/atomic"

	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/fleetconfig"
)

// highestPriority is that of the most urgent class.
const highestPriority = 9

// viewSource gives the dispatcher the configuration as a view: a class for each
// route, as a route's targets are those of its calls.
type viewSource struct {
	holder *fleetconfig.Holder
	cached atomic.Pointer[cachedView]
}

type cachedView struct {
	config *fleetconfig.Config
	view   *configsync.View
}

// Snapshot implements dispatch.Config.
func (v *viewSource) Snapshot() *configsync.View {
	config, _ := v.holder.Current()
	if cached := v.cached.Load(); cached != nil && cached.config == config {
		return cached.view
	}
	view := &configsync.View{Classes: map[string]*api.Class{}}
	if config != nil {
		view.Revision = config.Version
		for _, r := range config.Routes {
			view.Classes[r.Name] = classOf(r)
		}
	}
	v.cached.Store(&cachedView{config: config, view: view})
	return view
}

func classOf(r *fleetconfig.Route) *api.Class {
	priority := highestPriority - min(max(r.Urgency, 0), highestPriority)
	repeatable := r.Repeatable()
	class := &api.Class{Deadline: api.Duration(r.Timeout), Priority: &priority, Idempotent: &repeatable}
	if r.Kind == fleetconfig.Stream {
		class.Target.FirstToken = api.Duration(r.Target)
	} else {
		class.Target.Answer = api.Duration(r.Target)
	}
	return class
}

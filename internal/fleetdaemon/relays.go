package fleetdaemon

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"rattantide/internal/membership"
	"rattantide/internal/peering"
)

// relays is how many daemons read the store on their own. The others hear from
// them, so that the calls of the store do not grow with the number of daemons.
const relays = 3

// chooseRelays chooses the daemons that read the store, by the view of this one,
// among those that it answers. Two views may differ for a moment; more daemons than
// needed then read it.
func (d *Daemon) chooseRelays() {
	var names []string
	if !d.config.Failing() {
		names = append(names, d.settings.Name)
	}
	for _, p := range d.peers.Peers() {
		if p.Alive && !p.Leaving && !p.StoreAway {
			names = append(names, p.Name)
		}
	}
	if len(names) == 0 {
		// The store answers nobody; those that read it go on trying.
		return
	}
	preferred := membership.Preferred("relay", names)
	chosen := preferred[:min(relays, len(preferred))]
	d.relayNames.Store(&chosen)
}

// isRelay reports whether a daemon reads the store on its own.
func (d *Daemon) isRelay(name string) bool {
	chosen := d.relayNames.Load()
	return chosen == nil || slices.Contains(*chosen, name)
}

// direct reports whether this daemon reads the store on its own.
func (d *Daemon) direct() bool { return d.isRelay(d.settings.Name) }

// important reports whether requests depend on the answers of a daemon.
func (d *Daemon) important(name string) bool { return d.quota.Holds(name) || d.isRelay(name) }

// asked takes over what a daemon that asks says of itself. One that has newly taken
// over the duties is asked at once, as it may have sent that before a suspension and
// no longer hold them.
func (d *Daemon) asked(r peering.Report) bool {
	if r.QuotaFrom == d.settings.Name {
		d.quotaPool.Heard(r.Name)
	}
	return r.Fence > d.quota.Fence()
}

// quotaCall asks the holder of the pool for a part of a quota.
type quotaCall struct {
	Workspace string  `json:"w"`
	Cost      float64 `json:"c"`
}

// quotaReply is the holder's answer. A daemon that is not the holder answers with
// Held false.
type quotaReply struct {
	Held    bool  `json:"h"`
	Granted bool  `json:"g"`
	AfterMs int64 `json:"a,omitempty"`
}

// called answers a call of another daemon.
func (d *Daemon) called(from peering.Report, body json.RawMessage) json.RawMessage {
	var call quotaCall
	var reply quotaReply
	if err := json.Unmarshal(body, &call); err != nil {
		d.scope.Counter("peer_bad_calls").Inc(1)
	} else if fence, held := d.held(); held {
		reply.Held = true
		d.quotaPool.Open(fence)
		d.quotaPool.Heard(from.Name)
		if config, _ := d.holder.Current(); config != nil {
			if w := config.Workspace(call.Workspace); w != nil {
				granted, after := d.quotaPool.Grant(w, call.Cost)
				reply.Granted, reply.AfterMs = granted, after.Milliseconds()
			}
		}
	}
	text, err := json.Marshal(reply)
	if err != nil {
		d.logger.Error("answer to a daemon could not be written", "error", err)
	}
	return text
}

// quotaSource implements quota.Source by calls to the holder.
type quotaSource struct {
	peers *peering.Node
}

// Ask implements quota.Source.
func (q quotaSource) Ask(ctx context.Context, holder, workspace string, cost float64) (granted bool, after time.Duration, answered bool) {
	text, err := json.Marshal(quotaCall{Workspace: workspace, Cost: cost})
	if err != nil {
		return false, 0, false
	}
	answer, answered := q.peers.Call(ctx, holder, text)
	if !answered {
		return false, 0, false
	}
	var reply quotaReply
	if err := json.Unmarshal(answer, &reply); err != nil || !reply.Held {
		return false, 0, false
	}
	return reply.Granted, time.Duration(reply.AfterMs) * time.Millisecond, true
}

package fleetdaemon

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"rattantide/internal/membership"
	"rattantide/internal/peering"
)

// maxPools is how many daemons this one may take quotas from.
const maxPools = 3

// choosePools chooses the daemons whose pools of quotas this one takes from: of those
// that are ready the ones with the most processor time, as each request of all daemons
// asks there, and among equal ones by rendezvous hashing, so that all choose the same.
func (d *Daemon) choosePools(peers []peering.Peer) {
	cores := map[string]float64{}
	var names []string
	add := func(name string, n float64) {
		cores[name] = n
		names = append(names, name)
	}
	if d.ready() {
		add(d.settings.Name, d.settings.Cores)
	}
	for _, p := range peers {
		if p.Serves() {
			add(p.Name, p.Cores)
		}
	}
	preferred := membership.Preferred("quota", names)
	slices.SortStableFunc(preferred, func(a, b string) int { return cmp.Compare(cores[b], cores[a]) })
	chosen := preferred[:min(maxPools, len(preferred))]
	d.poolNames.Store(&chosen)
}

// poolHolders returns the daemons that choosePools chose.
func (d *Daemon) poolHolders() []string {
	if chosen := d.poolNames.Load(); chosen != nil {
		return *chosen
	}
	return nil
}

// asked takes over what a daemon that asks says of itself.
func (d *Daemon) asked(r peering.Report) {
	if r.QuotaFrom == d.settings.Name {
		d.quotaPool.Heard(r.Name)
		return
	}
	d.quotaPool.Left(r.Name)
}

// quotaCall asks the holder of the pool for a part of a quota.
type quotaCall struct {
	Workspace string  `json:"w"`
	Cost      float64 `json:"c"`
}

// quotaReply is the answer. A daemon without a configuration answers with Known false.
type quotaReply struct {
	Known   bool  `json:"h"`
	Granted bool  `json:"g"`
	AfterMs int64 `json:"a,omitempty"`
}

// called answers a call of another daemon.
func (d *Daemon) called(from peering.Report, body json.RawMessage) json.RawMessage {
	var call quotaCall
	var reply quotaReply
	if err := json.Unmarshal(body, &call); err != nil {
		d.scope.Counter("peer_bad_calls").Inc(1)
	} else if config, _ := d.holder.Current(); config != nil {
		reply.Known = true
		d.quotaPool.Heard(from.Name)
		if w := config.Workspace(call.Workspace); w != nil {
			granted, after := d.quotaPool.Grant(w, call.Cost)
			reply.Granted, reply.AfterMs = granted, after.Milliseconds()
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
	if err := json.Unmarshal(answer, &reply); err != nil || !reply.Known {
		return false, 0, false
	}
	return reply.Granted, time.Duration(reply.AfterMs) * time.Millisecond, true
}

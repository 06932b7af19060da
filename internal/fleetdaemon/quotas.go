package fleetdaemon

import (
	"context"
	"encoding/json"
	"time"

	"rattantide/internal/bootclock"
	"rattantide/internal/peering"
	"rattantide/internal/quota"
)

// maxQuotaPools is the number of daemons whose quota pools this daemon may take from.
const maxQuotaPools = 3

// chooseQuotaPools chooses the daemons whose quota pools this daemon takes from: the
// ready daemons with the most cores, as every request of the fleet is checked there.
func (d *Daemon) chooseQuotaPools(peers []peering.Peer) {
	chosen := preferredByCores("quota", d.servingCores(peers), maxQuotaPools)
	d.quotaPoolNames.Store(&chosen)
}

// quotaPoolHolders returns the daemons that chooseQuotaPools chose last.
func (d *Daemon) quotaPoolHolders() []string {
	if chosen := d.quotaPoolNames.Load(); chosen != nil {
		return *chosen
	}
	return nil
}

// buildQuota builds the components that enforce the quotas of workspaces.
func (d *Daemon) buildQuota() {
	bound := func() quota.Bound {
		b := d.bounds.Load()
		return quota.Bound{Window: b.QuotaWindow, Overshoot: b.QuotaOvershoot, Slack: b.QuotaSlack}
	}
	d.quotaPool = quota.NewPool(quota.PoolOptions{
		Daemons: d.daemonCount, Bound: bound, Now: bootclock.Now,
	})
	d.quota = quota.NewLimiter(quota.Options{
		Self: d.settings.Name, Holders: d.quotaPoolHolders, Pool: d.quotaPool, RemotePool: quotaSource{d.peers},
		OnHolderChange: func(from, to string) { d.peers.Notify(from, to) }, Now: bootclock.Now, Logger: d.logger, Scope: d.scope,
	})
}

// handlePeerRequest processes the report that a request from another daemon contains: its
// news, and whether that daemon takes its quotas from this daemon's pool.
func (d *Daemon) handlePeerRequest(r peering.Report) {
	d.applyNews(r, bootclock.Now())
	if r.QuotaSource == d.settings.Name {
		d.quotaPool.RecordUse(r.Name)
		return
	}
	d.quotaPool.RecordLeave(r.Name)
}

// quotaCall is a request to a holder of the quota pool to take Cost from the quota of
// a workspace.
type quotaCall struct {
	Workspace string  `json:"w"`
	Cost      float64 `json:"c"`
}

// quotaReply is the reply to a quotaCall. Known is false if the holder has no
// configuration or could not decode the call.
type quotaReply struct {
	Known   bool  `json:"h"`
	Granted bool  `json:"g"`
	AfterMs int64 `json:"a,omitempty"`
}

// handleCall returns the reply to a call of another daemon.
func (d *Daemon) handleCall(from peering.Report, body json.RawMessage) json.RawMessage {
	var call quotaCall
	var reply quotaReply
	if err := json.Unmarshal(body, &call); err != nil {
		d.scope.Counter("peer_bad_calls").Inc(1)
	} else if config, _ := d.holder.Current(); config != nil {
		reply.Known = true
		d.quotaPool.RecordUse(from.Name)
		if w := config.Workspace(call.Workspace); w != nil {
			granted, after := d.quotaPool.Grant(w, call.Cost)
			reply.Granted, reply.AfterMs = granted, after.Milliseconds()
		}
	}
	text, err := json.Marshal(reply)
	if err != nil {
		d.logger.Error("cannot encode the reply to a daemon", "error", err)
	}
	return text
}

// quotaSource implements quota.RemotePool with calls to the holder of the pool.
type quotaSource struct {
	peers *peering.Node
}

// Take implements quota.RemotePool.
func (q quotaSource) Take(ctx context.Context, holder, workspace string, cost float64) (granted bool, after time.Duration, answered bool) {
	text, err := json.Marshal(quotaCall{Workspace: workspace, Cost: cost})
	if err != nil {
		return false, 0, false
	}
	encodedReply, answered := q.peers.Call(ctx, holder, text)
	if !answered {
		return false, 0, false
	}
	var reply quotaReply
	if err := json.Unmarshal(encodedReply, &reply); err != nil || !reply.Known {
		return false, 0, false
	}
	return reply.Granted, time.Duration(reply.AfterMs) * time.Millisecond, true
}

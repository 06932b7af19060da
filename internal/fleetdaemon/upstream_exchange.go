package fleetdaemon

import (
	"context"
	"time"

	"rattantide/internal/bootclock"
	"rattantide/internal/membership"
	"rattantide/internal/peering"
	"rattantide/internal/routing"
	"rattantide/internal/upstreamstate"
)

// suspensionThreshold is the minimum difference between the clock that counts suspensions and
// the one that does not for a suspension to be assumed. A smaller one is the time between the
// two readings.
const suspensionThreshold = 50 * time.Millisecond

// loadRecorder implements gateway.LoadRecorder.
type loadRecorder struct{ d *Daemon }

// RecordLoad implements gateway.LoadRecorder.
func (l loadRecorder) RecordLoad(u membership.Upstream, load membership.Load) {
	l.d.table.SetLoads([]membership.UpstreamLoad{{Name: u.Name, Address: u.Address, Generation: u.Generation, Load: load}})
	l.d.upstreamStore.Observe(upstreamstate.Process{Name: u.Name, Address: u.Address, Generation: u.Generation}, load, bootclock.Now())
}

// recordSlowness passes a measurement of the slowness of an upstream to the exchange.
func (d *Daemon) recordSlowness(s routing.SlownessSample) {
	d.upstreamStore.ObserveSlowness(upstreamstate.Process{Name: s.Upstream, Address: s.Address, Generation: s.Generation}, s.Ratio, bootclock.Now())
}

// usableProcesses returns the processes of the upstreams that may be used: those whose
// state is exchanged and which count for the capacity.
func (d *Daemon) usableProcesses() []upstreamstate.Process {
	var processes []upstreamstate.Process
	for _, u := range d.knownUpstreams() {
		if u.IsStaying() && !d.isEvacuated(u.Domain) {
			processes = append(processes, upstreamstate.Process{
				Pool: u.Pool, Name: u.Name, Address: u.Address, Version: u.Version, Generation: u.StartedAtMs,
			})
		}
	}
	return processes
}

// handleUpstreamState applies a message with the state of upstreams.
func (d *Daemon) handleUpstreamState(from peering.Sender, payload []byte) {
	updates, invalid, err := d.upstreamStore.Merge(payload, bootclock.Now(), nil)
	if err != nil || invalid > 0 {
		d.scope.Counter("upstream_state_invalid").Inc(int64(max(1, invalid)))
		d.logger.Debug("message with invalid state of upstreams", "daemon", from.Name, "entries", invalid, "error", err)
	}
	d.scope.Counter("upstream_state_updates").Inc(int64(len(updates)))
	d.applyUpdates(updates)
}

// applyUpdates passes new reports of upstreams to the choice.
func (d *Daemon) applyUpdates(updates []upstreamstate.Update) {
	loads := make([]membership.UpstreamLoad, len(updates))
	for i, u := range updates {
		loads[i] = membership.UpstreamLoad{Name: u.Process.Name, Address: u.Process.Address, Generation: u.Process.Generation, Load: u.Load}
	}
	d.table.SetLoads(loads)
}

// exchangeUpstreamStates sends the state of upstreams to other daemons until ctx ends, and
// returns nil.
func (d *Daemon) exchangeUpstreamStates(ctx context.Context) error {
	exchange := upstreamstate.NewExchange(d.upstreamStore)
	ticker := time.NewTicker(upstreamstate.TickInterval)
	defer ticker.Stop()
	began, bootBegan := time.Now(), bootclock.Now()
	suspended := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := bootclock.Now()
		// The choice counts the ages of reports by a clock that stops during suspensions.
		if total := now.Sub(bootBegan) - time.Since(began); total-suspended > suspensionThreshold {
			suspended = total
			d.applyUpdates(d.upstreamStore.Updates(now, nil))
		}
		fleet := d.fleet.Load()
		if fleet == nil {
			continue
		}
		for _, m := range exchange.Tick(*fleet, now) {
			d.scope.Counter("upstream_state_bytes_sent").Inc(int64(len(m.Payload) * len(m.To)))
			d.peers.Publish(peering.TopicUpstreamState, m.Payload, m.To...)
		}
	}
}

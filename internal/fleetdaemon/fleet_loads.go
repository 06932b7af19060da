package fleetdaemon

import (
	"rattantide/internal/admission"
	"rattantide/internal/bootclock"
	"rattantide/internal/fleetload"
	"rattantide/internal/peering"
)

// buildFleetLoads builds the exchange of the demand and the capacity, on which admission
// decides.
func (d *Daemon) buildFleetLoads(admitter *admission.Controller) {
	d.fleetLoads = fleetload.NewExchange(fleetload.Options{
		Self:  peering.Sender{Name: d.settings.Name, Process: d.process},
		Local: admitter.TakeLoads, Apply: admitter.ApplyFleetLoads,
		Publish:    func(payload []byte, names ...string) { d.peers.Publish(peering.TopicFleetLoad, payload, names...) },
		Collectors: d.collectors,
		Daemons: func() []string {
			if names := d.servingPeers.Load(); names != nil {
				return *names
			}
			return nil
		},
		Now: bootclock.Now, Scope: d.scope,
	})
	d.peers.Subscribe(peering.TopicFleetLoad, d.fleetLoads.Receive)
}

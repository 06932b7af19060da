package admission

import (
	"time"

	"rattantide/internal/fleetload"
)

// fleetFigures collects what a daemon reports of one pool.
type fleetFigures struct {
	answered [rankCount]float64
	ratios   [rankCount]fleetload.Ratios
	takenAt  time.Time
}

// takeLoad returns the load since the last call.
func (l *rankLimit) takeLoad(now time.Time) fleetload.Load {
	load := fleetload.Load{}
	for i := range load.Ranks {
		load.Ranks[i] = fleetload.Rank{Demand: l.demand[i].at(demandTimeConstant, now), Outstanding: l.outstanding[i], Ratios: l.figures.ratios[i]}
	}
	if elapsed := now.Sub(l.figures.takenAt).Seconds(); !l.figures.takenAt.IsZero() && elapsed > 0 {
		for i := range load.Ranks {
			load.Ranks[i].Throughput = l.figures.answered[i] / elapsed
		}
	}
	for i := range l.open {
		o := &l.open[i]
		if o.target <= 0 {
			continue
		}
		if ratio := float64(now.Sub(o.sentAt)) / float64(o.target); ratio > rankOverloadRatio {
			load.Ranks[o.rank].Ratios.Add(ratio)
		}
	}
	for key, s := range l.shares {
		if key.workspace == "" {
			continue
		}
		if demand := s.demand.at(demandTimeConstant, now); demand >= fleetload.MinDemand {
			load.AddWorkspace(fleetload.Workspace{Key: s.key, Rank: s.rank, Demand: demand})
		}
	}
	load.KeepBusiest()
	l.figures = fleetFigures{takenAt: now}
	return load
}

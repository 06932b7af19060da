package fleetload

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// RankCount is the number of priorities.
	RankCount = 10
	// MinDemand is the demand, in tokens per second, below which nothing is reported. It
	// decays exponentially after the last request.
	MinDemand = 0.05
	// MaxWorkspaces bounds the workspaces of one pool in a sum, and maxReportedWorkspaces
	// those in the report of a daemon.
	MaxWorkspaces         = 6
	maxReportedWorkspaces = 3
)

// Load is the load of one pool, of one daemon or of all daemons together.
type Load struct {
	// Pool is the Key of the pool's name.
	Pool  uint32
	Ranks [RankCount]Rank
	// Workspaces are those with the highest demand.
	Workspaces []Workspace
}

// Rank is the load of the requests of one priority.
type Rank struct {
	// Demand is the work that arrives, in tokens per second, also of requests that are
	// refused.
	Demand float64
	// Outstanding is the work, in tokens, that was sent and has no first answer yet.
	Outstanding float64
	// Throughput is the answered work in tokens per second.
	Throughput float64
	Ratios     Ratios
}

// isIdle reports whether the priority has neither demand nor work.
func (r *Rank) isIdle() bool {
	return r.Demand < MinDemand && r.Outstanding == 0 && r.Throughput == 0 && r.Ratios.Count() == 0
}

// Workspace is the demand of a workspace in one priority.
type Workspace struct {
	// Key is the Key of the workspace's name.
	Key    uint32
	Rank   int
	Demand float64
}

// Key returns the key of a name in messages.
func Key(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Demand returns the demand of all priorities.
func (l *Load) Demand() float64 {
	sum := 0.0
	for i := range l.Ranks {
		sum += l.Ranks[i].Demand
	}
	return sum
}

// DemandAbove returns the demand of the priorities above one.
func (l *Load) DemandAbove(rank int) float64 {
	sum := 0.0
	for i := rank + 1; i < RankCount; i++ {
		sum += l.Ranks[i].Demand
	}
	return sum
}

// Outstanding returns the outstanding work of all priorities.
func (l *Load) Outstanding() float64 {
	sum := 0.0
	for i := range l.Ranks {
		sum += l.Ranks[i].Outstanding
	}
	return sum
}

// Throughput returns the answered work of all priorities.
func (l *Load) Throughput() float64 {
	sum := 0.0
	for i := range l.Ranks {
		sum += l.Ranks[i].Throughput
	}
	return sum
}

// IsIdle reports whether the pool has neither demand nor work.
func (l *Load) IsIdle() bool {
	return l.Throughput() == 0 && l.Demand() < MinDemand && l.Outstanding() == 0
}

// add adds the load of another daemon to the sum.
func (l *Load) add(other *Load) {
	for i := range l.Ranks {
		l.Ranks[i].Demand += other.Ranks[i].Demand
		l.Ranks[i].Throughput += other.Ranks[i].Throughput
		l.Ranks[i].Outstanding += other.Ranks[i].Outstanding
		l.Ranks[i].Ratios.add(&other.Ranks[i].Ratios)
	}
	for _, w := range other.Workspaces {
		l.AddWorkspace(w)
	}
}

// AddWorkspace adds the demand of a workspace.
func (l *Load) AddWorkspace(w Workspace) {
	for i := range l.Workspaces {
		if l.Workspaces[i].Key == w.Key && l.Workspaces[i].Rank == w.Rank {
			l.Workspaces[i].Demand += w.Demand
			return
		}
	}
	l.Workspaces = append(l.Workspaces, w)
}

// KeepBusiest removes all but the workspaces with the highest demand, which a daemon reports.
func (l *Load) KeepBusiest() {
	slices.SortFunc(l.Workspaces, func(a, b Workspace) int { return cmp.Compare(b.Demand, a.Demand) })
	l.Workspaces = l.Workspaces[:min(len(l.Workspaces), maxReportedWorkspaces)]
}

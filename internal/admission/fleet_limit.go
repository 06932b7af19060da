package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"rattantide/internal/fleetload"
)

const (
	// fleetFreshness is the age up to which the figures of the fleet replace the daemon's
	// own. Daemons report every 250 ms; the interval is longer in large fleets.
	fleetFreshness = 1500 * time.Millisecond
	// minFleetSamples is the minimum number of requests of a priority in one sum.
	minFleetSamples = 5
	// fleetWindowRatio is the share of the shortest target within which the work that all
	// daemons have outstanding must be answered, also before any answer is late.
	fleetWindowRatio = 0.45
	// fleetFloorRatio is the share of the shortest target within which the work below the
	// limit is answered in any case. A lower limit leaves upstreams idle.
	fleetFloorRatio = 0.25
	// quickTarget is the target below which the outstanding work changes faster than the
	// figures of the fleet arrive. A daemon then counts its own only.
	quickTarget = 300 * time.Millisecond
	// maxFleetRelief is the factor by which a daemon may exceed its part of the fleet's
	// limit while the fleet uses less of it.
	maxFleetRelief = 3.0
	// fleetEqualShare is the part of the fleet's limit that is divided evenly. The rest
	// follows the demand at each daemon.
	fleetEqualShare = 0.3
	// maxContradiction is the factor by which the average of a daemon's own outstanding work
	// may differ from its part of the fleet's, beyond as many requests of the mean cost.
	// Beyond it the figures of the fleet count as wrong. contradictionWeight is the
	// weight of one sum in these averages, so that they cover about 2 s.
	maxContradiction    = 4.0
	contradictionWeight = 0.1
	// provenMargin is the share by which the outstanding work that was answered in time may
	// be exceeded, for random variation, and constantMargin the same for work that is
	// outstanding because of constant delays. maxUnproven bounds the sums whose answers are
	// awaited.
	provenMargin   = 0.5
	constantMargin = 0.35
	maxUnproven    = 16
	// earlyRatio is the time to the first answer, relative to the target, that is not counted
	// as a delay that does not depend on the load.
	earlyRatio = 0.1
	// throughputWeight is the weight of one sum in the throughput of a priority, of which a
	// single sum contains few answers.
	throughputWeight = 0.1
	// capBurst is the time for which the capped rate of a workspace may be saved up.
	capBurst = 250 * time.Millisecond
)

// fleetLimit derives the limit of a pool for all daemons together from the sums of their
// figures. All daemons apply the same rule to the same sums; each uses its share of the
// limit. It performs no I/O.
type fleetLimit struct {
	load       fleetload.Load
	daemons    int
	receivedAt time.Time
	// value is the limit of the outstanding work in tokens, infinite until answers are
	// late, and capacity the highest throughput of the recent past per second.
	value, capacity float64
	// strictest is the highest median, over the priorities, of the time to the first answer
	// relative to the target, less its baseline, or a higher prediction.
	strictest float64
	baselines [fleetload.RankCount]ratioBaseline
	// throughput is the running mean of the throughput by priority.
	throughput [rankCount]float64
	// constant is the work that is outstanding because of delays that do not depend on the
	// load.
	constant  float64
	changedAt time.Time
	// holdUntil is the time until which answers still reflect the limit before the
	// latest decrease.
	holdUntil time.Time
	// proven is the outstanding work, in tokens, that has been answered in time recently,
	// and unproven that of the latest sums, which is not known yet to be.
	proven   float64
	unproven []pastOutstanding
	// ownAverage and partAverage are running means of the daemon's own outstanding work and
	// of its part of the fleet's.
	ownAverage, partAverage float64
	isContradicted          bool
	// caps is the highest rate of each workspace that sends more than its fair share of
	// a priority's room.
	caps map[workspaceRank]workspaceCap
}

type workspaceRank struct {
	workspace uint32
	rank      int
}

// pastOutstanding is the outstanding work at a time.
type pastOutstanding struct {
	at    time.Time
	value float64
}

// workspaceCap is the demand of a workspace at all daemons, and the rate that it gets.
type workspaceCap struct{ demand, rate float64 }

func newFleetLimit() *fleetLimit { return &fleetLimit{value: math.Inf(1)} }

// isFresh reports whether the figures of the fleet are to be used.
func (f *fleetLimit) isFresh(now time.Time) bool {
	return !f.isContradicted && f.daemons > 1 && now.Sub(f.receivedAt) < fleetFreshness && f.capacity > 0
}

// update applies new sums. targets are those of the priorities, and target is the shortest one
// in use.
func (f *fleetLimit) update(load *fleetload.Load, daemons int, targets *[rankCount]time.Duration, target time.Duration, now time.Time) {
	elapsed := now.Sub(f.receivedAt)
	f.capacity = max(load.Throughput(), f.capacity*math.Exp(-max(0, elapsed.Seconds())/capacityTimeConstant.Seconds()))
	f.load, f.daemons, f.receivedAt = *load, daemons, now
	outstanding := load.Outstanding()
	f.updateConstant(targets)
	early := f.updateStrictest(target, now)
	f.prove(outstanding, early, elapsed, target, now)
	switch {
	case now.Sub(f.changedAt) < workLimitInterval:
	case f.strictest > rankOverloadRatio && !now.Before(f.holdUntil):
		share := max(minDecreaseFactor, min(1, rankGoalRatio/f.strictest))
		f.value = max(min(f.value, outstanding)*share, fleetFloorRatio*target.Seconds()*f.capacity+f.constant)
		f.changedAt = now
		f.holdUntil = now.Add(time.Duration(f.strictest * float64(target)))
	case f.strictest <= rankOverloadRatio && outstanding >= workLimitMinUse*f.value:
		f.value *= workLimitIncreaseFactor
		f.changedAt = now
	}
	f.updateCaps()
}

// updateConstant updates the throughput of the priorities and the work that is outstanding
// because of constant delays.
func (f *fleetLimit) updateConstant(targets *[rankCount]time.Duration) {
	f.constant = 0
	for i := range f.load.Ranks {
		f.throughput[i] += throughputWeight * (f.load.Ranks[i].Throughput - f.throughput[i])
		f.constant += max(0, f.baselines[i].value-earlyRatio) * targets[i].Seconds() * f.throughput[i]
	}
}

// updateStrictest updates strictest and the baselines. early is strictest of the priorities
// that are answered early at rest, without the prediction.
func (f *fleetLimit) updateStrictest(target time.Duration, now time.Time) (early float64) {
	f.strictest = 0
	for i := range f.load.Ranks {
		if r := &f.load.Ranks[i].Ratios; r.Count() >= minFleetSamples {
			ratio := f.baselines[i].adjust(r.Median(), now)
			f.strictest = max(f.strictest, ratio)
			if f.baselines[i].isEarly() {
				early = max(early, ratio)
			}
		}
	}
	f.strictest = max(f.strictest, withPrediction(early, f.predictedRatio(target)))
	return early
}

// predictedRatio is rankLimit.predictedRatio for the sums of the fleet.
func (f *fleetLimit) predictedRatio(target time.Duration) float64 {
	outstanding, throughput := 0.0, 0.0
	for i := range f.load.Ranks {
		if f.baselines[i].isEarly() {
			outstanding += f.load.Ranks[i].Outstanding
			throughput += f.load.Ranks[i].Throughput
		}
	}
	if throughput <= 0 || target <= 0 {
		return 0
	}
	return outstanding / throughput / target.Seconds()
}

// prove records the outstanding work. That of sums older than the target becomes proven: since
// then the answers of the priorities that are answered early at rest have been early.
func (f *fleetLimit) prove(outstanding, early float64, elapsed, target time.Duration, now time.Time) {
	f.proven *= math.Exp(-max(0, elapsed.Seconds()) / capacityTimeConstant.Seconds())
	if early > predictionShare*rankOverloadRatio {
		f.unproven = f.unproven[:0]
		return
	}
	for len(f.unproven) > 0 && now.Sub(f.unproven[0].at) >= target {
		f.proven = max(f.proven, f.unproven[0].value)
		f.unproven = slices.Delete(f.unproven, 0, 1)
	}
	if len(f.unproven) < maxUnproven {
		f.unproven = append(f.unproven, pastOutstanding{now, outstanding})
	}
}

// checkOwn compares the daemon's own outstanding work with its part of the fleet's.
func (f *fleetLimit) checkOwn(own, share, meanCost float64) {
	f.ownAverage += contradictionWeight * (own - f.ownAverage)
	f.partAverage += contradictionWeight * (share*f.load.Outstanding() - f.partAverage)
	margin := maxContradiction * meanCost
	f.isContradicted = f.partAverage > maxContradiction*f.ownAverage+margin || f.ownAverage > maxContradiction*f.partAverage+margin
}

// updateCaps computes the caps of workspaces: in each priority whose demand exceeds the
// room that more urgent ones leave, the room is divided max-min fairly.
func (f *fleetLimit) updateCaps() {
	clear(f.caps)
	if f.capacity <= 0 || f.strictest <= predictionShare*rankOverloadRatio && f.load.Outstanding() < workLimitMinUse*f.value {
		return
	}
	for rank := range f.load.Ranks {
		demand := f.load.Ranks[rank].Demand
		room := max(guaranteedShare*f.capacity, f.capacity-f.load.DemandAbove(rank))
		if demand <= room {
			continue
		}
		var known []fleetload.Workspace
		for _, w := range f.load.Workspaces {
			if w.Rank == rank {
				known = append(known, w)
				demand -= w.Demand
			}
		}
		if len(known) < 2 && demand <= 0 {
			// A single workspace has all of the room.
			continue
		}
		f.capWorkspaces(known, max(0, room-max(0, demand)))
	}
}

// capWorkspaces divides room among workspaces of one priority max-min fairly, and caps those
// that want more.
func (f *fleetLimit) capWorkspaces(known []fleetload.Workspace, room float64) {
	slices.SortFunc(known, func(a, b fleetload.Workspace) int { return cmp.Compare(a.Demand, b.Demand) })
	for i, w := range known {
		level := room / float64(len(known)-i)
		if w.Demand <= level {
			room -= w.Demand
			continue
		}
		if f.caps == nil {
			f.caps = map[workspaceRank]workspaceCap{}
		}
		f.caps[workspaceRank{w.Key, w.Rank}] = workspaceCap{demand: w.Demand, rate: level}
		room -= level
	}
}

// scale scales the limit to the number of upstreams, and the capacity if that falls: new
// upstreams count once they answer.
func (f *fleetLimit) scale(factor float64) {
	f.value *= factor
	f.capacity *= min(1, factor)
}

// window returns the outstanding work that all daemons together may have. Each upstream can
// have minLimitPerUpstream requests of the mean cost at any time. At a low load the throughput
// says little about the capacity; what has been answered in time recently may be outstanding
// again.
func (f *fleetLimit) window(target time.Duration, upstreams int, meanCost float64) float64 {
	window := f.value
	if target > 0 {
		window = min(window, fleetWindowRatio*target.Seconds()*f.capacity+f.constant)
	}
	return max(window, minLimitPerUpstream*float64(upstreams)*meanCost, min(f.proven+max(provenMargin*(f.proven-f.constant), constantMargin*f.proven), f.value))
}

// share returns the part of the fleet's figures that belongs to a daemon with this demand.
func (f *fleetLimit) share(demand float64) float64 {
	equal := 1 / float64(max(1, f.daemons))
	total := f.load.Demand()
	if total <= 0 {
		return equal
	}
	return fleetEqualShare*equal + (1-fleetEqualShare)*min(1, demand/total)
}

// relief returns the factor by which this daemon may exceed its share because the fleet uses
// less than the window.
func (f *fleetLimit) relief(window float64) float64 {
	outstanding := f.load.Outstanding()
	if outstanding <= 0 {
		return maxFleetRelief
	}
	return min(max(1, window/outstanding), maxFleetRelief)
}

package admission

import (
	"slices"
	"time"

	"rattantide/internal/fleetload"
)

const (
	// rankCount is the number of priorities.
	rankCount = fleetload.RankCount
	// ranksExpiry is how long a priority counts as present in a pool after its last
	// request.
	ranksExpiry = time.Minute
	// demandTimeConstant is the time constant of the moving average of the demand. It
	// is longer than that of the throughput, as a daemon receives only some requests
	// per second of the most urgent class.
	demandTimeConstant = 2 * time.Second
	// rankSampleAge bounds the age of the answers that the limit reacts to, and
	// minRankSamples is the minimum number of them in one priority. 15 answers, as
	// without ranks, take 1.4 s at 11 requests per second.
	rankSampleAge  = time.Second
	minRankSamples = 3
	// rankOverloadRatio and rankGoalRatio are like overloadRatio and goalRatio, for the
	// priority that is closest to its target.
	rankOverloadRatio = 0.5
	rankGoalRatio     = 0.35
	// predictionWindow is the time over which the latest throughput is measured, and
	// predictionShare the share of rankOverloadRatio from which it counts. When load
	// rises by half, the answers that arrive are early until those that are sent are
	// late.
	predictionWindow = 300 * time.Millisecond
	predictionShare  = 0.6
	// rankCheckInterval is the minimum time between two evaluations of the samples.
	rankCheckInterval = 50 * time.Millisecond
	// drainRatio is the share of its target within which the outstanding work must be
	// answered for a request to start while work of less urgent priorities, sent before
	// the limit fell, is still outstanding. The rest is for the request's own work.
	drainRatio = 0.6
	// reserveMargin is the factor on the demand of more urgent priorities in the room
	// that is kept free for them.
	reserveMargin = 1.2
)

// openWork is a request that was sent and has no first answer yet.
type openWork struct {
	id, class string
	rank      int
	cost      float64
	target    time.Duration
	sentAt    time.Time
}

// rankSample is the time to a first answer relative to its target.
type rankSample struct {
	rank       int
	cost       float64
	ratio      float64
	sentAt     time.Time
	answeredAt time.Time
}

// rankLimit divides the work limit of a pool among priorities: it keeps room free for
// more urgent requests according to their recent demand, so that less urgent ones are
// refused first, and guarantees a small share to each class and workspace. It is active
// only where requests of different priorities use the pool or where workspaces have
// quotas. It performs no I/O; the controller's lock guards it.
type rankLimit struct {
	hasQuotas func() bool
	lastSeen  [rankCount]time.Time
	demand    [rankCount]decayingRate
	// targets are the targets of the latest requests.
	targets [rankCount]time.Duration
	// meanCost is the running mean of the cost of arrivals.
	meanCost float64
	// meanCosts are the same by priority.
	meanCosts [rankCount]float64
	fleet     *fleetLimit
	returns   returnTimes
	// fleetNow is a clock that the fleet shares; nil means that there is none.
	fleetNow func() time.Time
	figures  fleetFigures
	// outstanding is the work without a first answer by priority, in tokens.
	outstanding [rankCount]float64
	open        []openWork
	samples     []rankSample
	ratios      [rankCount][]float64
	baselines   [rankCount]ratioBaseline
	checkedAt   time.Time
	shares      map[shareKey]*share
	// shareCounts is the number of shares of each class.
	shareCounts map[string]int
	sweptAt     time.Time
}

func newRankLimit(hasQuotas func() bool) *rankLimit {
	return &rankLimit{hasQuotas: hasQuotas, fleet: newFleetLimit(), shares: map[shareKey]*share{}, shareCounts: map[string]int{}}
}

// rankOf returns the priority of a request within the range of ranks.
func rankOf(r *Request) int { return min(max(r.Priority, 0), rankCount-1) }

// isActive reports whether priorities differ or workspaces have quotas.
func (l *rankLimit) isActive(now time.Time) bool {
	present := 0
	for i := range l.lastSeen {
		if !l.lastSeen[i].IsZero() && now.Sub(l.lastSeen[i]) < ranksExpiry {
			present++
		}
	}
	return present > 1 || present > 0 && l.hasQuotas != nil && l.hasQuotas()
}

// recordArrival adds a request to the demand.
func (l *rankLimit) recordArrival(r *Request, now time.Time) {
	rank := rankOf(r)
	l.lastSeen[rank], l.targets[rank] = now, r.FirstTarget
	l.meanCost = updateMean(l.meanCost, r.cost())
	l.meanCosts[rank] = updateMean(l.meanCosts[rank], r.cost())
	l.demand[rank].add(r.cost(), demandTimeConstant, now)
	l.returns.recordArrival(r, l.returnPeriod(rank, now), l.fleetTime(now), now)
	l.sweep(now)
	s := l.share(shareKey{r.Class, r.Workspace})
	s.lastSeenAt, s.rank = now, rank
	s.demand.add(r.cost(), demandTimeConstant, now)
	l.share(shareKey{class: r.Class}).lastSeenAt = now
}

// share returns the share of a workspace in a class, or that of the class if the key has no
// workspace. It is created if necessary.
func (l *rankLimit) share(key shareKey) *share {
	s := l.shares[key]
	if s == nil {
		s = &share{key: fleetload.Key(key.workspace)}
		l.shares[key] = s
		if key.workspace != "" {
			l.shareCounts[key.class]++
		}
	}
	return s
}

// returnPeriod returns the period in which callers of a priority return.
func (l *rankLimit) returnPeriod(rank int, now time.Time) time.Duration {
	period := returnPeriod
	for i := rank + 1; i < rankCount && period < maxReturnPeriod; i++ {
		if !l.lastSeen[i].IsZero() && now.Sub(l.lastSeen[i]) < ranksExpiry {
			period *= 2
		}
	}
	return period
}

// fleetTime returns the time of the fleet's clock, or now if there is none.
func (l *rankLimit) fleetTime(now time.Time) time.Time {
	if l.fleetNow == nil {
		return now
	}
	return l.fleetNow()
}

// sweep removes shares that have expired.
func (l *rankLimit) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < time.Second {
		return
	}
	l.sweptAt = now
	for key, s := range l.shares {
		if now.Sub(s.lastSeenAt) < shareExpiry {
			continue
		}
		delete(l.shares, key)
		if key.workspace == "" {
			continue
		}
		if l.shareCounts[key.class]--; l.shareCounts[key.class] <= 0 {
			delete(l.shareCounts, key.class)
		}
	}
}

// isLowest reports whether no less urgent priority is present.
func (l *rankLimit) isLowest(rank int, now time.Time) bool {
	for i := range rank {
		if !l.lastSeen[i].IsZero() && now.Sub(l.lastSeen[i]) < ranksExpiry {
			return false
		}
	}
	return true
}

// isGuaranteed reports whether the request may start by its guaranteed share. The share of
// the class bounds those of its workspaces together: each of them starts with some credit.
func (l *rankLimit) isGuaranteed(r *Request, w *workLimit, now time.Time) bool {
	room := l.room(w, now)
	if w.outstanding >= max(room.value, drainRatio*r.FirstTarget.Seconds()*room.capacity) {
		return false
	}
	rate := guaranteedShare * room.capacity
	class, own := l.shares[shareKey{class: r.Class}], l.shares[shareKey{r.Class, r.Workspace}]
	if class == nil || own == nil {
		return false
	}
	class.accrue(rate, now)
	own.accrue(rate/float64(max(1, l.shareCounts[r.Class])), now)
	return class.credit > 0 && own.credit > 0
}

// isCapped reports whether the request's workspace has used up its fair share of the room of
// its priority.
func (l *rankLimit) isCapped(r *Request, now time.Time) bool {
	if len(l.fleet.caps) == 0 || !l.fleet.isFresh(now) {
		return false
	}
	s := l.shares[shareKey{r.Class, r.Workspace}]
	if s == nil {
		return false
	}
	limit, ok := l.fleet.caps[workspaceRank{s.key, rankOf(r)}]
	if !ok {
		return false
	}
	s.accrueCap(limit.rate*min(1, s.demand.at(demandTimeConstant, now)/limit.demand), now)
	return s.capCredit <= 0
}

// recordStart adds the work of a request that is sent.
func (l *rankLimit) recordStart(r *Request, isGuaranteed bool, now time.Time) {
	rank := rankOf(r)
	l.outstanding[rank] += r.cost()
	l.open = append(l.open, openWork{r.ID, r.Class, rank, r.cost(), r.FirstTarget, now})
	if s := l.shares[shareKey{class: r.Class}]; s != nil {
		s.charge(r.cost(), isGuaranteed)
	}
	if s := l.shares[shareKey{r.Class, r.Workspace}]; s != nil && r.Workspace != "" {
		s.charge(r.cost(), isGuaranteed)
	}
}

// recordAnswer removes a request that has its first answer or has ended; latency is 0
// when there was no answer.
func (l *rankLimit) recordAnswer(r *Request, latency time.Duration, now time.Time) {
	i := slices.IndexFunc(l.open, func(o openWork) bool { return o.id == r.ID && o.class == r.Class })
	if i < 0 {
		return
	}
	o := l.open[i]
	l.open = slices.Delete(l.open, i, i+1)
	l.outstanding[o.rank] = max(0, l.outstanding[o.rank]-o.cost)
	if latency > 0 {
		l.figures.answered[o.rank] += o.cost
	}
	if latency > 0 && o.target > 0 {
		l.figures.ratios[o.rank].Add(float64(latency) / float64(o.target))
		if len(l.samples) >= 4*workSamples {
			l.samples = slices.Delete(l.samples, 0, 1)
		}
		l.samples = append(l.samples, rankSample{o.rank, o.cost, float64(latency) / float64(o.target), o.sentAt, now})
	}
}

// strictestRatio returns the highest median, over the priorities, of the time to the
// first answer relative to the target. A request without an answer counts with its age
// once that exceeds overloadRatio: while all of them wait, there are no answers to react
// to. Requests sent before since are ignored. It returns 0 without enough samples. The
// median of all requests would hide that short targets are missed while long ones are
// met. early is the same for the priorities that are answered early at rest.
func (l *rankLimit) strictestRatio(since, now time.Time) (strictest, early float64) {
	for i := range l.ratios {
		l.ratios[i] = l.ratios[i][:0]
	}
	for _, s := range l.samples {
		if now.Sub(s.answeredAt) < rankSampleAge && !s.sentAt.Before(since) {
			l.ratios[s.rank] = append(l.ratios[s.rank], s.ratio)
		}
	}
	for i := range l.open {
		o := &l.open[i]
		if o.target <= 0 || o.sentAt.Before(since) {
			continue
		}
		if ratio := float64(now.Sub(o.sentAt)) / float64(o.target); ratio > rankOverloadRatio {
			l.ratios[o.rank] = append(l.ratios[o.rank], ratio)
		}
	}
	for i, ratios := range l.ratios {
		if len(ratios) < minRankSamples {
			continue
		}
		slices.Sort(ratios)
		ratio := l.baselines[i].adjust(ratios[len(ratios)/2], now)
		strictest = max(strictest, ratio)
		if l.baselines[i].isEarly() {
			early = max(early, ratio)
		}
	}
	return strictest, early
}

// predictedRatio returns the time that the outstanding work takes at the latest throughput,
// relative to the shortest target, for the priorities that are answered early at rest; 0
// without enough answers. Others have much work outstanding whatever the load is.
func (l *rankLimit) predictedRatio(now time.Time) float64 {
	answered, n := 0.0, 0
	for _, s := range l.samples {
		if now.Sub(s.answeredAt) < predictionWindow && l.baselines[s.rank].isEarly() {
			answered += s.cost
			n++
		}
	}
	target := l.shortestTarget(now)
	if n < minRankSamples || target <= 0 {
		return 0
	}
	outstanding := 0.0
	for i := range l.outstanding {
		if l.baselines[i].isEarly() {
			outstanding += l.outstanding[i]
		}
	}
	return outstanding / (answered / predictionWindow.Seconds()) / target.Seconds()
}

// check lowers the work limit when answers are late.
func (l *rankLimit) check(w *workLimit, now time.Time) {
	if now.Sub(l.checkedAt) < rankCheckInterval {
		return
	}
	l.checkedAt = now
	strictest, early := l.strictestRatio(w.loweredAt, now)
	w.strictest = max(strictest, withPrediction(early, l.predictedRatio(now)))
	if w.strictest > rankOverloadRatio && now.Sub(w.changedAt) >= workLimitInterval {
		w.lower(w.strictest*goalRatio/rankGoalRatio, now)
	}
}

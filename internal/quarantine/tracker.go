package quarantine

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// begunRetention is how long an answer that has begun on a part is remembered, and
	// maxBegun bounds the parts.
	begunRetention = time.Minute
	maxBegun       = 4096
	// repeatLosses is the number of settled losses against a part after which a request with
	// it is no longer sent to another upstream.
	repeatLosses = 2
)

// Tracker decides for one daemon. It is safe for concurrent use. A nil Tracker allows all
// requests.
type Tracker struct {
	opts        Options
	refused     tally.Counter
	quarantined tally.Gauge

	mu sync.Mutex
	// begun holds when an answer last began on a part, at any daemon as far as it matters.
	begun map[uint64]time.Time
	// losses are in the order in which they became known.
	losses   []*loss
	verdicts map[uint64]*verdict
	// cleared holds the parts whose verdict was disproved, as other daemons may not know.
	cleared map[uint64]time.Time
	open    map[*Attempt]struct{}
	// evaluateAt is when the losses are to be evaluated; zero if there is nothing new.
	evaluateAt time.Time
	// hasNews is set by functions that find evidence of which other daemons should learn soon;
	// update passes it on.
	hasNews bool
}

// New returns a Tracker without evidence.
func New(opts Options) *Tracker {
	scope := opts.Scope.SubScope("quarantine").Tagged(map[string]string{"subject": opts.Policy.Subject})
	return &Tracker{
		opts: opts, refused: scope.Counter("refused"), quarantined: scope.Gauge("parts"),
		begun: map[uint64]time.Time{}, verdicts: map[uint64]*verdict{}, cleared: map[uint64]time.Time{}, open: map[*Attempt]struct{}{},
	}
}

// update calls fn with t.mu held, evaluates, and calls Options.OnNews if there is news.
func (t *Tracker) update(fn func()) {
	t.mu.Lock()
	fn()
	t.evaluate(t.opts.Now())
	hasNews := t.hasNews
	t.hasNews = false
	t.mu.Unlock()
	if hasNews {
		t.opts.OnNews()
	}
}

// Check decides whether a request with the given parts may be sent to an upstream.
// isRepeat is set if it was sent to one before.
func (t *Tracker) Check(parts []uint64, isRepeat bool) Decision {
	decision := Allow
	if t == nil || len(parts) == 0 {
		return decision
	}
	var suspended []suspension
	t.update(func() { decision, suspended = t.check(parts, isRepeat) })
	if decision == RefuseForNow && !isRepeat && t.mayProbe(suspended) {
		decision = Allow
	}
	if decision != Allow {
		t.refused.Inc(1)
	}
	return decision
}

// suspension is a suspended part of a request. Each daemon may try it, unless
// isTriedForFleet: then only the prober of the fleet does.
type suspension struct {
	part            uint64
	isTriedForFleet bool
}

// check returns the decision without trials, and the suspended parts. t.mu must be held.
func (t *Tracker) check(parts []uint64, isRepeat bool) (decision Decision, suspended []suspension) {
	now := t.opts.Now()
	t.evaluate(now)
	for _, part := range parts {
		v := t.verdicts[part]
		switch {
		case v == nil:
			if isRepeat && len(t.lossesAgainst(part, now.Add(-settleTime))) >= repeatLosses {
				decision = max(decision, RefuseForNow)
			}
			continue
		case !v.age(now):
			delete(t.verdicts, part)
			continue
		case v.isConfirmed():
			decision = Refuse
		default:
			decision = max(decision, RefuseForNow)
			suspended = append(suspended, suspension{part: part, isTriedForFleet: v.isTriedForFleet()})
		}
		v.lastRequestAt = now
	}
	return decision, suspended
}

// mayProbe reports whether this request is a trial of all its suspended parts, and records
// the trial.
func (t *Tracker) mayProbe(suspended []suspension) bool {
	for _, s := range suspended {
		if s.isTriedForFleet && !t.opts.IsProber(s.part) {
			return false
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	for _, s := range suspended {
		if v := t.verdicts[s.part]; v != nil && !v.mayProbe(now) {
			return false
		}
	}
	return len(suspended) > 0
}

// addBegun records an answer that began on a part. t.mu must be held.
func (t *Tracker) addBegun(part uint64, at time.Time) {
	if !at.After(t.begun[part]) {
		return
	}
	t.makeRoomForBegun()
	t.begun[part] = at
	if v := t.verdicts[part]; v != nil && at.After(v.lastLossAt) {
		delete(t.verdicts, part)
		t.cleared[part] = at
		t.hasNews = true
		t.log("is no longer quarantined: an answer has begun on it", v)
	}
	for _, l := range t.losses {
		if l.clear(part, at) && !l.isExplained {
			t.hasNews = true
		}
	}
}

// makeRoomForBegun removes some entries if there are too many. t.mu must be held.
func (t *Tracker) makeRoomForBegun() {
	if len(t.begun) < maxBegun {
		return
	}
	for part := range t.begun {
		if len(t.begun) < maxBegun*3/4 {
			return
		}
		delete(t.begun, part)
	}
}

// cancelConfirmed cancels the open attempts with parts that crash upstreams, so that their
// upstreams do not begin to write the answers. t.mu must be held.
func (t *Tracker) cancelConfirmed() {
	for a := range t.open {
		for _, part := range a.parts {
			if v := t.verdicts[part]; v != nil && v.isConfirmed() {
				a.cancel()
				delete(t.open, a)
				break
			}
		}
	}
}

// Tick removes what has expired and updates the gauge. It is called about once a second.
func (t *Tracker) Tick() {
	t.update(func() {
		now := t.opts.Now()
		for part, v := range t.verdicts {
			if !v.age(now) {
				delete(t.verdicts, part)
			}
		}
		for part, at := range t.cleared {
			if now.Sub(at) > begunRetention {
				delete(t.cleared, part)
			}
		}
		for part, at := range t.begun {
			if now.Sub(at) > begunRetention {
				delete(t.begun, part)
			}
		}
		t.removeExpiredLosses(now)
		t.quarantined.Update(float64(len(t.verdicts)))
	})
}

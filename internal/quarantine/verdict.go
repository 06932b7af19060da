package quarantine

import (
	"strconv"
	"time"
)

const (
	// holdTime is how long a verdict outlives the last request with the part. The part is
	// then tried by a single request; if it crashes its upstream, the verdict holds again.
	holdTime = 10 * time.Minute
	// forgetTime is the time without requests after which a confirmed verdict is removed.
	forgetTime = 24 * time.Hour
	// probeInterval is the minimum time between two trials of a suspended part unless the
	// policy has a TrialDelay.
	probeInterval = time.Second
	// maxVerdicts bounds the verdicts that are remembered.
	maxVerdicts = 256
)

// verdict is the finding that a part crashes upstreams.
type verdict struct {
	policy *Policy
	part   uint64
	// losses is the number of upstreams lost under the part, as far as any daemon knows, and
	// explained the number of those that this daemon knows itself.
	losses    int
	explained int
	// term increases each time the verdict was lifted for a trial.
	term int
	// lastLossAt and lastRequestAt are the times of the latest loss and request with the
	// part in the fleet.
	lastLossAt    time.Time
	lastRequestAt time.Time
	// probedAt is when this daemon last tried the part; zero if never.
	probedAt time.Time
}

func (v *verdict) isConfirmed() bool { return v.losses >= v.policy.ConfirmLosses }

// mayProbe reports whether the part may be tried at the time now, and records the trial.
func (v *verdict) mayProbe(now time.Time) bool {
	if v.untilTrial(now) > 0 {
		return false
	}
	v.probedAt = now
	return true
}

// untilTrial returns the time until the part may be tried again.
func (v *verdict) untilTrial(now time.Time) time.Duration {
	delay, since := probeInterval, v.probedAt
	if v.policy.TrialDelay > 0 && v.term == 0 {
		delay = v.policy.TrialDelay << max(0, v.losses-v.policy.SuspendLosses)
		if v.lastLossAt.After(since) {
			since = v.lastLossAt
		}
	}
	if since.IsZero() {
		return 0
	}
	return max(0, since.Add(delay).Sub(now))
}

// isTriedForFleet reports whether only one daemon tries the part.
func (v *verdict) isTriedForFleet() bool { return v.term > 0 || v.policy.TrialDelay > 0 }

// age lifts a verdict for a trial after holdTime without requests. It returns false if the
// verdict is to be removed.
func (v *verdict) age(now time.Time) bool {
	quiet := now.Sub(v.lastRequestAt)
	switch {
	case quiet <= holdTime:
		return true
	case v.isConfirmed():
		v.term++
		v.losses, v.explained = v.policy.ConfirmLosses-1, v.policy.ConfirmLosses-1
		return true
	case v.term > 0:
		return quiet <= forgetTime
	}
	return false
}

// addVerdict adds a verdict and explains the losses under the part. t.mu must be held.
func (t *Tracker) addVerdict(part uint64, losses []*loss, now time.Time) {
	v := t.newVerdict(part)
	v.lastRequestAt = now
	v.explain(losses)
	t.log("is quarantined", v)
}

// newVerdict adds a verdict without losses, in place of the stalest one if there are too
// many. t.mu must be held.
func (t *Tracker) newVerdict(part uint64) *verdict {
	if len(t.verdicts) >= maxVerdicts {
		t.removeStalestVerdict()
	}
	v := &verdict{policy: &t.opts.Policy, part: part}
	t.verdicts[part] = v
	return v
}

// explain attributes losses to the part.
func (v *verdict) explain(losses []*loss) {
	for _, l := range losses {
		l.isExplained, l.explainedBy = true, v.part
		v.explained++
		if l.at.After(v.lastLossAt) {
			v.lastLossAt = l.at
		}
	}
	v.losses = max(v.losses, v.explained)
}

// removeStalestVerdict removes the verdict whose last request is the oldest. t.mu must be
// held.
func (t *Tracker) removeStalestVerdict() {
	var stalest *verdict
	for _, v := range t.verdicts {
		if stalest == nil || v.lastRequestAt.Before(stalest.lastRequestAt) {
			stalest = v
		}
	}
	delete(t.verdicts, stalest.part)
}

// log logs a change of a verdict. t.mu must be held.
func (t *Tracker) log(message string, v *verdict) {
	t.opts.Logger.Warn(t.opts.Policy.Subject+" "+message, "part", strconv.FormatUint(v.part, 16), "lostUpstreams", v.losses, "confirmed", v.isConfirmed(), "term", v.term)
}

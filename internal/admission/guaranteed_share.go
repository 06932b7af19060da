package admission

import "time"

const (
	// guaranteedShare is the share of a pool's throughput that each class may use
	// regardless of more urgent ones. It is divided evenly among the workspaces of the
	// class that have sent requests recently.
	guaranteedShare = 0.05
	// guaranteedCredit bounds the credit of a share that was not used.
	guaranteedCredit = time.Second
	// guaranteedOverrun is the factor by which guaranteed starts may exceed the limit of
	// open attempts.
	guaranteedOverrun = 1.25
	// shareExpiry is how long a share is kept after its last request. A workspace that
	// sends less often does not reduce the shares of others.
	shareExpiry = 5 * time.Second
)

// shareKey identifies the share of a workspace in a class.
type shareKey struct{ class, workspace string }

// share is the credit, in tokens, of a workspace in a class for starts that are
// guaranteed. A large request may overdraw it, so that large and small requests get
// the same share over time.
type share struct {
	credit     float64
	updatedAt  time.Time
	lastSeenAt time.Time
	// key is that of the workspace in messages, rank the priority of its latest request
	// and demand the work that arrives.
	key    uint32
	rank   int
	demand decayingRate
	// capCredit is the work that the workspace may start while it is capped.
	capCredit float64
	cappedAt  time.Time
}

// accrueCap adds credit at the capped rate in tokens per second.
func (s *share) accrueCap(rate float64, now time.Time) {
	if now.Sub(s.cappedAt) > shareExpiry {
		s.capCredit = rate * capBurst.Seconds()
	} else {
		s.capCredit = min(rate*capBurst.Seconds(), s.capCredit+rate*max(0, now.Sub(s.cappedAt).Seconds()))
	}
	s.cappedAt = now
}

// accrue adds credit at a rate in tokens per second.
func (s *share) accrue(rate float64, now time.Time) {
	if s.updatedAt.IsZero() {
		// A new workspace starts with full credit: otherwise its first requests could
		// be refused although it never had anything.
		s.credit = rate * guaranteedCredit.Seconds()
	} else {
		s.credit = min(rate*guaranteedCredit.Seconds(), s.credit+rate*max(0, now.Sub(s.updatedAt).Seconds()))
	}
	s.updatedAt = now
}

// charge deducts the cost of a started request. An ordinary start uses up the credit
// but does not overdraw it, so that a class that had all of the room has no debt when
// others need it.
func (s *share) charge(cost float64, isGuaranteed bool) {
	s.capCredit -= cost
	if isGuaranteed {
		s.credit -= cost
		return
	}
	s.credit = max(min(s.credit, 0), s.credit-cost)
}

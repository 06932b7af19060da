package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"rattantide/internal/membership"
)

// maxSends is the number of sends per upstream that are recorded, to determine
// which of them a load report already includes. A report lags by a few seconds
// at most, and a daemon sends less than one request per second to an upstream.
const maxSends = 32

// sendRecord is an attempt that was sent to an upstream.
type sendRecord struct {
	at     time.Duration
	tokens float64
}

// upstreamState is the state of one upstream in a Tracker. Times are durations
// since the tracker's start, because arithmetic on time.Time takes a third of
// the time of building candidates.
//
// The fields that each decision reads come first, as the states of all candidates exceed the
// first-level cache of a processor.
type upstreamState struct {
	name     string
	nameHash uint64
	// process is the process that the state belongs to.
	process         upstreamProcess
	lastCandidateAt time.Duration
	// report is the latest load report, or nil before the first.
	report *membership.Load
	slot   int
	// backlogTokens is the estimated number of waiting prompt tokens at
	// backlogAt.
	backlogTokens float64
	backlogAt     time.Duration
	// pendingTokens is the number of prompt tokens of this daemon's attempts
	// that have no first token yet. It does not lag, and it includes requests
	// that wait for a slot in a full batch.
	pendingTokens float64
	reportedLoad  int
	inFlight      int
	// running is the batch size in the latest report, plus this daemon's
	// changes since.
	running  float64
	slowness float64
	failures failureShare
	kvShare  float64
	domain   *domainReclaims
	// reported is what the upstream has reported of its slots and its pace.
	reported reportedState
	// lasting is the slowness as discounted by its age.
	lasting lastingSpeed
	// measuredSlowness is the lasting slowness of an upstream that reports its pace, without what
	// its reports explain, as of measuredSlownessAt.
	measuredSlowness   float64
	measuredSlownessAt time.Duration
	// lastEvent is the sequence number of the last cache event; -1 before the
	// first.
	lastEvent int64
	// sends is a ring buffer; unused entries have negative tokens.
	sends    *[maxSends]sendRecord
	nextSend int
}

func newUpstreamState(name string, slot int) *upstreamState {
	s := &upstreamState{name: name, nameHash: xxhash.Sum64String(name), slot: slot, slowness: 1, measuredSlowness: 1, lastEvent: -1,
		sends: &[maxSends]sendRecord{}}
	for i := range s.sends {
		s.sends[i].tokens = -1
	}
	return s
}

// applyReport applies a load report. This daemon's sends after the time of the
// report are not included in it and are added.
func (s *upstreamState) applyReport(report *membership.Load, receivedAt time.Duration, meanTokens float64) {
	s.report = report
	takenAt := receivedAt - time.Duration(report.AgeMs)*time.Millisecond
	s.reportedLoad = report.Running + report.Waiting
	s.running = float64(report.Running)
	s.backlogTokens = float64(report.Waiting) * meanTokens
	s.backlogAt = takenAt
	sentSince := 0
	for i := range s.sends {
		if s.sends[i].tokens >= 0 && s.sends[i].at > takenAt {
			s.backlogTokens += s.sends[i].tokens
			s.running++
			sentSince++
		}
	}
	if report.Speed > 0 {
		// All daemons together have measured it more often than this one.
		s.measuredSlowness, s.measuredSlownessAt, s.lasting = 1/report.Speed, receivedAt, lastingSpeed{}
	}
	s.reported = newReportedState(report, takenAt, min(sentSince, s.inFlight))
	s.kvShare = 0
	if report.KVTotalTokens > 0 {
		s.kvShare = float64(report.KVUsedTokens) / float64(report.KVTotalTokens)
	}
}

// backlogTokensAt returns the backlog at now, less the tokens that were
// processed since backlogAt, but at least the pending tokens.
func (s *upstreamState) backlogTokensAt(now time.Duration, rate float64) float64 {
	if s.backlogTokens <= 0 {
		return s.pendingTokens
	}
	return max(s.pendingTokens, s.backlogTokens-float64(now-s.backlogAt)*1e-9*rate)
}

func (s *upstreamState) recordSent(now time.Duration, tokens, rate float64) {
	s.backlogTokens = s.backlogTokensAt(now, rate) + tokens
	s.backlogAt = now
	s.sends[s.nextSend] = sendRecord{at: now, tokens: tokens}
	s.nextSend = (s.nextSend + 1) % maxSends
	s.pendingTokens += tokens
	s.inFlight++
	s.running++
	s.reported.sentSince++
}

// lastingSlowness returns the lasting slowness, which decays to 1 while nothing is measured,
// and its reciprocal.
func (s *upstreamState) lastingSlowness(now time.Duration) (slowness, speed float64) {
	if !s.lasting.isCurrent(now) {
		weight := halfWeight((now - s.measuredSlownessAt).Seconds(), speedHalfAge.Seconds())
		s.lasting = lastingSpeed{at: now, slowness: 1 + weight*(s.measuredSlowness-1)}
		s.lasting.speed = 1 / s.lasting.slowness
	}
	return s.lasting.slowness, s.lasting.speed
}

// addSlownessSample adds a measurement of the lasting slowness.
func (s *upstreamState) addSlownessSample(ratio float64, now time.Duration) {
	known, _ := s.lastingSlowness(now)
	s.measuredSlowness, s.measuredSlownessAt, s.lasting = known+meanWeight*2*(ratio-known), now, lastingSpeed{}
}

// clearReportedState clears the fields of a candidate that are unknown without new reports of
// most upstreams. The load in an old report is not used.
func (s *upstreamState) clearReportedState(c *Candidate) {
	c.Slots, c.Waiting, c.Pace, c.Speed, c.StateAge = 0, 0, 0, 0, 0
	c.WaitSeconds, c.AddedSeconds, c.Unreported, c.OwnUnreported = 0, 0, 0, 0
	if s.reported.slots > 0 {
		c.Running, c.BacklogTokens = float64(s.inFlight), s.pendingTokens
	}
}

// recordEnd records the end of an attempt that was sent at a time.
func (s *upstreamState) recordEnd(sentAt time.Duration) {
	s.inFlight = max(0, s.inFlight-1)
	s.running = max(0, s.running-1)
	if sentAt > s.reported.takenAt {
		s.reported.sentSince = max(0, s.reported.sentSince-1)
	}
}

// beginProcess discards the state of an earlier process of the same name.
func (s *upstreamState) beginProcess(p upstreamProcess) {
	isFirst := s.process == upstreamProcess{}
	s.process = p
	if isFirst {
		return
	}
	s.report, s.reportedLoad, s.kvShare = nil, 0, 0
	s.slowness, s.failures = 1, failureShare{}
	s.measuredSlowness, s.measuredSlownessAt, s.lasting = 1, 0, lastingSpeed{}
	s.running, s.backlogTokens = float64(s.inFlight), 0
	s.reported = reportedState{sentSince: s.inFlight}
}

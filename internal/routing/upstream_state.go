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
type upstreamState struct {
	name     string
	nameHash uint64
	slot     int
	inFlight int
	// backlogTokens is the estimated number of waiting prompt tokens at
	// backlogAt.
	backlogTokens float64
	backlogAt     time.Duration
	// pendingTokens is the number of prompt tokens of this daemon's attempts
	// that have no first token yet. It does not lag, and it includes requests
	// that wait for a slot in a full batch.
	pendingTokens float64
	// running is the batch size in the latest report, plus this daemon's
	// changes since.
	running          float64
	slowness         float64
	failures         failureShare
	kvShare          float64
	reportedLoad     int
	reportReceivedAt time.Time
	domain           *domainReclaims
	// lastEvent is the sequence number of the last cache event; -1 before the
	// first.
	lastEvent int64
	// sends is a ring buffer; unused entries have negative tokens.
	sends           *[maxSends]sendRecord
	nextSend        int
	lastCandidateAt time.Duration
}

func newUpstreamState(name string, slot int) *upstreamState {
	s := &upstreamState{name: name, nameHash: xxhash.Sum64String(name), slot: slot, slowness: 1, lastEvent: -1,
		sends: &[maxSends]sendRecord{}}
	for i := range s.sends {
		s.sends[i].tokens = -1
	}
	return s
}

// applyReport applies a load report. This daemon's sends after the time of the
// report are not included in it and are added.
func (s *upstreamState) applyReport(report *membership.Load, receivedAt time.Duration, meanTokens float64) {
	s.reportReceivedAt = report.ReceivedAt
	takenAt := receivedAt - time.Duration(report.AgeMs)*time.Millisecond
	s.reportedLoad = report.Running + report.Waiting
	s.running = float64(report.Running)
	s.backlogTokens = float64(report.Waiting) * meanTokens
	s.backlogAt = takenAt
	for i := range s.sends {
		if s.sends[i].tokens >= 0 && s.sends[i].at > takenAt {
			s.backlogTokens += s.sends[i].tokens
			s.running++
		}
	}
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
}

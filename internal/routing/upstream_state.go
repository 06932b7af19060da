package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"rattantide/internal/membership"
)

// rememberedSends is how many sends per upstream are kept to tell which of
// them a report already contains. A report lags by a few seconds at most, and
// one daemon sends less than one request per second to an upstream.
const rememberedSends = 32

type send struct {
	at     time.Duration
	tokens float64
}

// upstreamState is what the tracker knows of one upstream. Times are counted
// from the tracker's start, because arithmetic on time.Time takes a third of
// the time of building candidates.
type upstreamState struct {
	name     string
	hash     uint64
	slot     int
	inFlight int
	// backlog is the prompt tokens that waited at backlogAt.
	backlog   float64
	backlogAt time.Duration
	// pending is the prompt tokens of own attempts that have no first token yet.
	// It does not lag, and it also holds what waits for a place in a full batch.
	pending float64
	// running is the batch size at the last report, plus own changes since.
	running  float64
	slowness float64
	failures failureShare
	kvShare  float64
	reported int
	reportAt time.Time
	domain   *domainReclaims
	// lastEvent is the sequence number of the last cache event; -1 before any.
	lastEvent int64
	// sends is a ring; unused places have negative tokens.
	sends    *[rememberedSends]send
	nextSend int
	seenAt   time.Duration
}

func newUpstreamState(name string, slot int) *upstreamState {
	s := &upstreamState{name: name, hash: xxhash.Sum64String(name), slot: slot, slowness: 1, lastEvent: -1,
		sends: &[rememberedSends]send{}}
	for i := range s.sends {
		s.sends[i].tokens = -1
	}
	return s
}

// absorb takes over a load report. Its own sends after the report's time are
// not contained in the report and are added to it.
func (s *upstreamState) absorb(l *membership.Load, received time.Duration, meanTokens float64) {
	s.reportAt = l.ReceivedAt
	taken := received - time.Duration(l.AgeMs)*time.Millisecond
	s.reported = l.Running + l.Waiting
	s.running = float64(l.Running)
	s.backlog = float64(l.Waiting) * meanTokens
	s.backlogAt = taken
	for i := range s.sends {
		if s.sends[i].tokens >= 0 && s.sends[i].at > taken {
			s.backlog += s.sends[i].tokens
			s.running++
		}
	}
	s.kvShare = 0
	if l.KVTotalTokens > 0 {
		s.kvShare = float64(l.KVUsedTokens) / float64(l.KVTotalTokens)
	}
}

// backlogNow returns the backlog, less what was processed since, but at least
// what is known to be pending.
func (s *upstreamState) backlogNow(now time.Duration, rate float64) float64 {
	if s.backlog <= 0 {
		return s.pending
	}
	return max(s.pending, s.backlog-float64(now-s.backlogAt)*1e-9*rate)
}

func (s *upstreamState) sent(now time.Duration, tokens, rate float64) {
	s.backlog = s.backlogNow(now, rate) + tokens
	s.backlogAt = now
	s.sends[s.nextSend] = send{at: now, tokens: tokens}
	s.nextSend = (s.nextSend + 1) % rememberedSends
	s.pending += tokens
	s.inFlight++
	s.running++
}

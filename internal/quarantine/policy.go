package quarantine

import "time"

// Policy holds what differs between the kinds of parts that a Tracker judges. All fields
// except TrialDelay are required.
type Policy struct {
	// Subject names the kind of part in log lines.
	Subject string
	// SuspendLosses is the number of lost upstreams after which requests with a part are
	// refused except for single trials, and ConfirmLosses the number after which all are.
	SuspendLosses int
	ConfirmLosses int
	// CountsMoments makes upstreams that are lost at the same moment count as one for
	// SuspendLosses.
	CountsMoments bool
	// TrialDelay is the time after the latest loss or trial from which one daemon tries a
	// suspended part for the fleet. It doubles with each loss beyond SuspendLosses. 0 means
	// that each daemon tries the part at intervals of probeInterval.
	TrialDelay time.Duration
	// MaxLossParts bounds the parts that are remembered of a loss, and MaxSentLossParts those
	// that another daemon is told of.
	MaxLossParts     int
	MaxSentLossParts int
	// TellsBegun makes other daemons learn that answers began on a suspect part before the
	// loss, as few requests may contain it.
	TellsBegun bool
}

// PromptParts is the Policy for parts that prompts share. Many requests contain such a part, so
// that a trial is soon followed by an answer that clears a sound one.
var PromptParts = Policy{Subject: "prompt part", SuspendLosses: 4, ConfirmLosses: 5, MaxLossParts: 32, MaxSentLossParts: 12}

// WholeRequests is the Policy for requests that come again unchanged. A request is on few
// upstreams, so that it is soon kept away, but rarely tried. Sound requests are only together
// with it on upstreams that end at different moments if they are repeated as well.
var WholeRequests = Policy{
	Subject: "request", SuspendLosses: 3, ConfirmLosses: 5, CountsMoments: true, TrialDelay: 10 * time.Second,
	MaxLossParts: 128, MaxSentLossParts: 16, TellsBegun: true,
}

// suffices reports whether losses are enough to suspend a part.
func (p *Policy) suffices(losses []*loss) bool {
	if p.CountsMoments {
		return countMoments(losses) >= p.SuspendLosses
	}
	return len(losses) >= p.SuspendLosses
}

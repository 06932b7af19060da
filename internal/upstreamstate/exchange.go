package upstreamstate

import (
	"slices"
	"time"

	"rattantide/internal/membership"
)

const (
	// TickInterval is the time between two calls of Exchange.Tick.
	TickInterval = 125 * time.Millisecond
	// observationInterval is the time between two messages of a daemon to the collectors, and
	// secondInterval that between two messages of a collector to the daemons that another one
	// serves first. These keep a daemon supplied until the first collector is replaced.
	observationInterval = 250 * time.Millisecond
	secondInterval      = time.Second
	// plannedDaemons is the size of a fleet up to which the intervals hold. They grow with
	// larger ones, so that what a collector receives and sends stays bounded.
	plannedDaemons = 150
	// firstBytesPerSecond and secondBytesPerSecond bound what a daemon receives from its first
	// and its second collector, without the headers of messages. With them it is at most 3.1
	// KB/s, which leaves a quarter of the bound of 4 KB/s to the load of the fleet.
	firstBytesPerSecond  = 2400
	secondBytesPerSecond = 300
	// maxMessageBytes bounds a message, so that it fits one packet.
	maxMessageBytes = 1200
)

// Message is a message to other daemons.
type Message struct {
	Payload []byte
	To      []string
}

// Fleet is the set of daemons as this daemon knows it.
type Fleet struct {
	Self string
	// Collectors and Daemons are names; Daemons includes this daemon if it is ready.
	Collectors []string
	Daemons    []string
}

// Exchange decides when a daemon sends what to which others. It is not safe for concurrent
// use.
type Exchange struct {
	store         *Store
	observedAt    time.Time
	firstSentAt   time.Time
	secondSentAt  time.Time
	first, second []string
	// fleet is that of the latest division of the daemons into first and second.
	fleet Fleet
}

// NewExchange returns an Exchange of the state in store.
func NewExchange(store *Store) *Exchange { return &Exchange{store: store} }

// Tick returns the messages that are due.
func (x *Exchange) Tick(fleet Fleet, now time.Time) []Message {
	stretch := max(1, float64(len(fleet.Daemons))/plannedDaemons)
	var messages []Message
	send := func(at *time.Time, interval time.Duration, to audience, budget float64, names []string) {
		interval = time.Duration(float64(interval) * stretch)
		// Ticks are late at times, which must not make every other one miss the interval.
		elapsed := now.Sub(*at)
		if len(names) == 0 || elapsed >= 0 && elapsed < interval-TickInterval/2 {
			return
		}
		*at = now
		budget = min(maxMessageBytes, budget*interval.Seconds())
		if payload := x.store.encodeUnsent(to, int(budget), now); payload != nil {
			messages = append(messages, Message{Payload: payload, To: names})
		}
	}
	others := make([]string, 0, len(fleet.Collectors))
	for _, name := range fleet.Collectors {
		if name != fleet.Self {
			others = append(others, name)
		}
	}
	send(&x.observedAt, observationInterval, toCollectors, maxMessageBytes/observationInterval.Seconds(), others)
	if !slices.Contains(fleet.Collectors, fleet.Self) {
		return messages
	}
	x.divide(fleet)
	send(&x.firstSentAt, TickInterval, toFirst, firstBytesPerSecond, x.first)
	send(&x.secondSentAt, secondInterval, toSecond, secondBytesPerSecond, x.second)
	return messages
}

// divide determines the daemons for which this one is the first and the second collector. The
// other collectors get the observations of all daemons themselves.
func (x *Exchange) divide(fleet Fleet) {
	if slices.Equal(fleet.Daemons, x.fleet.Daemons) && slices.Equal(fleet.Collectors, x.fleet.Collectors) {
		return
	}
	x.fleet = Fleet{Self: fleet.Self, Daemons: slices.Clone(fleet.Daemons), Collectors: slices.Clone(fleet.Collectors)}
	x.first, x.second = nil, nil
	for _, name := range fleet.Daemons {
		if slices.Contains(fleet.Collectors, name) {
			continue
		}
		if membership.RankOf(name, fleet.Self, fleet.Collectors) == 0 {
			x.first = append(x.first, name)
		} else {
			x.second = append(x.second, name)
		}
	}
}

package admission

import (
	"fmt"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"rattantide/internal/fleetload"
	"rattantide/internal/peering"
)

// fleetSim connects the daemons of a loadSim by the real exchange of loads. Messages take
// messageDelay.
type fleetSim struct {
	*loadSim
	exchanges  []*fleetload.Exchange
	collectors []int
	inTransit  []fleetMessage
	// isLost reports whether a message from one daemon to another is lost; nil if none are.
	isLost func(from, to int) bool
	// factor is a factor on the figures of sums, if it is not 0.
	factor         float64
	messages, size int
}

type fleetMessage struct {
	at       time.Time
	from, to int
	payload  []byte
}

const messageDelay = 5 * time.Millisecond

func daemonName(i int) string { return fmt.Sprint("d", i) }

func newFleetSim(daemons, upstreams int, capacity float64) *fleetSim {
	f := &fleetSim{loadSim: newLoadSim(daemons, upstreams, capacity, true), collectors: []int{0, 1}}
	for i := range daemons {
		var others []string
		for j := range daemons {
			if j != i {
				others = append(others, daemonName(j))
			}
		}
		f.exchanges = append(f.exchanges, fleetload.NewExchange(fleetload.Options{
			Self: peering.Sender{Name: daemonName(i), Process: "p"},
			Local: func() []fleetload.Load {
				load := f.daemons[i].ranks.takeLoad(f.now)
				load.Pool = 1
				return []fleetload.Load{load}
			},
			Apply: func(loads []fleetload.Load, count int) {
				for k := range loads {
					f.distort(&loads[k])
					f.daemons[i].applyFleetLoad(&loads[k], count, f.now)
				}
				f.grant(i)
			},
			Publish: func(payload []byte, names ...string) { f.publish(i, payload, names) },
			Collectors: func() []string {
				names := make([]string, len(f.collectors))
				for k, c := range f.collectors {
					names[k] = daemonName(c)
				}
				return names
			},
			Daemons: func() []string { return others },
			Now:     func() time.Time { return f.now }, Scope: tally.NoopScope,
		}))
	}
	f.onStep = f.exchange
	return f
}

// distort applies factor to the figures of a sum.
func (f *fleetSim) distort(l *fleetload.Load) {
	if f.factor == 0 {
		return
	}
	for i := range l.Ranks {
		l.Ranks[i].Demand *= f.factor
		l.Ranks[i].Outstanding *= f.factor
		l.Ranks[i].Throughput *= f.factor
	}
}

func (f *fleetSim) publish(from int, payload []byte, names []string) {
	for _, name := range names {
		to := 0
		_, _ = fmt.Sscanf(name, "d%d", &to)
		if f.isLost != nil && f.isLost(from, to) {
			continue
		}
		f.messages++
		f.size += len(payload)
		f.inTransit = append(f.inTransit, fleetMessage{f.now.Add(messageDelay), from, to, slices.Clone(payload)})
	}
}

// exchange delivers messages and lets the daemons send. They tick at different times.
func (f *fleetSim) exchange() {
	messages := f.inTransit
	f.inTransit = nil
	for _, m := range messages {
		if m.at.After(f.now) {
			f.inTransit = append(f.inTransit, m)
			continue
		}
		f.exchanges[m.to].Receive(peering.Sender{Name: daemonName(m.from), Process: "p"}, m.payload)
	}
	step := int(f.now.Sub(testStart) / (10 * time.Millisecond))
	for i, e := range f.exchanges {
		if (step+i)%5 == 0 {
			e.Tick()
		}
	}
}

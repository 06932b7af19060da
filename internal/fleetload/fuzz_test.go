//go:build fuzz

package fleetload

import (
	"math"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"rattantide/internal/peering"
)

// FuzzReceive guards against a message that ends the process, or whose figures are outside
// the bounds that the decisions rely on.
func FuzzReceive(f *testing.F) {
	for _, m := range [][]Load{nil, {testLoad(1)}, {testLoad(1), testLoad(2)}} {
		for daemons := range uint32(3) {
			payload, err := encode(7, daemons, m)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(payload)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		check := func(loads []Load) {
			if len(loads) > 2*maxPools {
				t.Fatalf("%d pools", len(loads))
			}
			for i := range loads {
				for _, v := range []float64{loads[i].Throughput(), loads[i].Demand(), loads[i].Outstanding()} {
					if math.IsNaN(v) || v < 0 || v > RankCount*maxFigure {
						t.Fatalf("figure %g", v)
					}
				}
			}
		}
		e := NewExchange(Options{
			Self: peering.Sender{Name: "a", Process: "p"}, Local: func() []Load { return []Load{testLoad(1)} },
			Apply: func(loads []Load, _ int) { check(loads) }, Publish: func([]byte, ...string) {},
			Collectors: func() []string { return []string{"b"} }, Daemons: func() []string { return []string{"b"} },
			Now: time.Now, Scope: tally.NoopScope,
		})
		e.Receive(peering.Sender{Name: "b", Process: "p"}, data)
		if m, err := decode(data); err == nil {
			check(m.Loads)
			if _, err := encode(1, 1, m.Loads); err != nil {
				t.Fatal(err)
			}
		}
	})
}

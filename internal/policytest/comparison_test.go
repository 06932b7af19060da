package policytest

import (
	"fmt"
	"strings"
	"testing"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

const firstSeed = 20261

func compare(entries []Entry, w Workload, factor float64, seed uint64) []*Result {
	results := make([]*Result, len(entries))
	var group errgroup.Group
	group.SetLimit(4)
	for i, e := range entries {
		group.Go(func() error {
			results[i] = Run(e.Policy, w, factor, seed)
			return nil
		})
	}
	_ = group.Wait()
	return results
}

// Guards against a change of routing or admission after which a baseline beats
// the shipped policy. The shipped policy may lose by the stated margins in a
// workload, but not over all of them. Run with -v for the tables.
func TestShippedPolicyWins(t *testing.T) {
	entries := Policies()
	within := make([]float64, len(entries))
	cost := make([]float64, len(entries))
	recomputed := make([]int, len(entries))
	for seed := uint64(firstSeed); seed < firstSeed+2; seed++ {
		for _, w := range Workloads() {
			for _, factor := range []float64{1, 1.4} {
				results := compare(entries, w, factor, seed)
				var out strings.Builder
				Write(&out, w, seed, entries, results)
				t.Logf("arrival factor %g\n%s", factor, out.String())
				shipped := results[0]
				for i, r := range results {
					within[i] += r.Within
					cost[i] += r.BusyCostPer1000
					recomputed[i] += r.Recomputed
					assert.Assert(t, shipped.Within >= r.Within-0.005, "%s, factor %g, seed %d: %s has %.3f within target, shipped %.3f",
						w.Name, factor, seed, entries[i].Name, r.Within, shipped.Within)
					assert.Assert(t, shipped.BusyCostPer1000 <= r.BusyCostPer1000*1.1, "%s, factor %g, seed %d: %s costs %.4f, shipped %.4f",
						w.Name, factor, seed, entries[i].Name, r.BusyCostPer1000, shipped.BusyCostPer1000)
				}
			}
		}
	}
	for i := 1; i < len(entries); i++ {
		assert.Assert(t, within[0] > within[i], "%s", entries[i].Name)
		assert.Assert(t, cost[0] < cost[i], "%s", entries[i].Name)
		if entries[i].Name != "prefix hash" {
			// Plain prefix hashing recomputes least, at the price of overload.
			assert.Assert(t, recomputed[0] < recomputed[i], "%s", entries[i].Name)
		}
	}
}

// Guards against results that a seed does not determine.
func TestRunIsRepeatable(t *testing.T) {
	w := Workloads()[3]
	a, b := Run(Policies()[0].Policy, w, 1, firstSeed), Run(Policies()[0].Policy, w, 1, firstSeed)
	assert.Equal(t, *a, *b)
}

// BenchmarkCapacity prints, per policy and workload, how far the arrival rate
// can rise until fewer than 95% of the requests are within target, and the
// cost of 1,000 requests at that rate.
func BenchmarkCapacity(b *testing.B) {
	entries := Policies()
	for b.Loop() {
		var out strings.Builder
		t := tabwriter.NewWriter(&out, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(t, "workload\tpolicy\trate factor\tcost/1000\t")
		for _, w := range Workloads() {
			factors, costs := make([]float64, len(entries)), make([]float64, len(entries))
			var group errgroup.Group
			group.SetLimit(4)
			for i, e := range entries {
				group.Go(func() error {
					factors[i], costs[i] = Capacity(e.Policy, w, firstSeed)
					return nil
				})
			}
			_ = group.Wait()
			for i, e := range entries {
				fmt.Fprintf(t, "%s\t%s\t%.2f\t%.4f\t\n", w.Name, e.Name, factors[i], costs[i])
			}
		}
		_ = t.Flush()
		b.Logf("seed %d\n%s", firstSeed, out.String())
	}
}

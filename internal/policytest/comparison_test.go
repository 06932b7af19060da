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

// runPolicies runs all policies on a workload and returns their results in the same
// order.
func runPolicies(policies []NamedPolicy, w Workload, factor float64, seed uint64) []*Result {
	results := make([]*Result, len(policies))
	var group errgroup.Group
	group.SetLimit(4)
	for i, p := range policies {
		group.Go(func() error {
			results[i] = Run(p.Policy, w, factor, seed)
			return nil
		})
	}
	_ = group.Wait()
	return results
}

// Guards against a change of routing or admission after which a baseline beats the
// shipped policy. In a single run, the shipped policy may be worse by 0.5 percentage
// points of requests within target and by 10% of cost; in total it must be better than
// each baseline. Run with -v for the tables.
func TestShippedPolicyWins(t *testing.T) {
	policies := Policies()
	within := make([]float64, len(policies))
	cost := make([]float64, len(policies))
	recomputed := make([]int, len(policies))
	for seed := uint64(firstSeed); seed < firstSeed+2; seed++ {
		for _, w := range Workloads() {
			for _, factor := range []float64{1, 1.4} {
				results := runPolicies(policies, w, factor, seed)
				var out strings.Builder
				WriteTable(&out, w, seed, policies, results)
				t.Logf("arrival factor %g\n%s", factor, out.String())
				shipped := results[0]
				for i, r := range results {
					within[i] += r.WithinTarget
					cost[i] += r.BusyCostPer1000
					recomputed[i] += r.Recomputed
					assert.Assert(t, shipped.WithinTarget >= r.WithinTarget-0.005, "%s, factor %g, seed %d: %s has a share of %.3f within target, the shipped policy %.3f",
						w.Name, factor, seed, policies[i].Name, r.WithinTarget, shipped.WithinTarget)
					assert.Assert(t, shipped.BusyCostPer1000 <= r.BusyCostPer1000*1.1, "%s, factor %g, seed %d: %s costs %.4f, the shipped policy %.4f",
						w.Name, factor, seed, policies[i].Name, r.BusyCostPer1000, shipped.BusyCostPer1000)
				}
			}
		}
	}
	for i := 1; i < len(policies); i++ {
		assert.Assert(t, within[0] > within[i], "%s", policies[i].Name)
		assert.Assert(t, cost[0] < cost[i], "%s", policies[i].Name)
		if policies[i].Name != "prefix hash" {
			// The prefix hash policy recomputes the fewest tokens, but overloads
			// engines.
			assert.Assert(t, recomputed[0] < recomputed[i], "%s", policies[i].Name)
		}
	}
}

// Guards against a simulation whose results are not determined by the seed.
func TestRunIsRepeatable(t *testing.T) {
	w := Workloads()[3]
	a, b := Run(Policies()[0].Policy, w, 1, firstSeed), Run(Policies()[0].Policy, w, 1, firstSeed)
	assert.Equal(t, *a, *b)
}

// BenchmarkCapacity logs, for each policy and workload, the highest factor on the
// arrival rate at which 95% of the requests meet their targets, and the cost of 1,000
// requests at that rate.
func BenchmarkCapacity(b *testing.B) {
	policies := Policies()
	for b.Loop() {
		var out strings.Builder
		t := tabwriter.NewWriter(&out, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(t, "workload\tpolicy\trate factor\tcost/1000\t")
		for _, w := range Workloads() {
			factors, costs := make([]float64, len(policies)), make([]float64, len(policies))
			var group errgroup.Group
			group.SetLimit(4)
			for i, p := range policies {
				group.Go(func() error {
					factors[i], costs[i] = Capacity(p.Policy, w, firstSeed)
					return nil
				})
			}
			_ = group.Wait()
			for i, p := range policies {
				fmt.Fprintf(t, "%s\t%s\t%.2f\t%.4f\t\n", w.Name, p.Name, factors[i], costs[i])
			}
		}
		_ = t.Flush()
		b.Logf("seed %d\n%s", firstSeed, out.String())
	}
}

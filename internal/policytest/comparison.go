package policytest

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"rattantide/internal/routing"
)

// NamedPolicy is a routing policy with the name under which it is reported.
type NamedPolicy struct {
	Name   string
	Policy routing.Policy
}

// ShippedName is the name of the policy that the daemon uses, the first one that
// Policies returns.
const ShippedName = "cost (shipped)"

// Policies returns the shipped policy, followed by the baselines.
func Policies() []NamedPolicy {
	return []NamedPolicy{
		{ShippedName, routing.NewCost()},
		{"random", routing.Random{}},
		{"least load", routing.LeastLoad{}},
		{"two choices", routing.TwoChoices{}},
		{"prefix hash", routing.PrefixHash{}},
	}
}

// targetShare is the fraction of requests that must meet their targets at the rate at
// which Capacity compares policies.
const targetShare = 0.95

// Capacity returns the highest factor on a workload's arrival rate at which at least
// targetShare of the requests meet their targets, to within 0.02, and the price of
// the whole fleet per 1,000 requests at that rate. Both are 0 if no rate qualifies.
func Capacity(policy routing.Policy, w Workload, seed uint64) (factor, costPer1000 float64) {
	low, high := 0.0, 4.0
	for high-low > 0.02 {
		middle := (low + high) / 2
		if Run(policy, w, middle, seed).WithinTarget >= targetShare {
			low = middle
		} else {
			high = middle
		}
	}
	if low == 0 {
		return 0, 0
	}
	r := Run(policy, w, low, seed)
	return low, fleetPrice(w) * w.Length.Hours() / float64(r.Requests) * 1000
}

// fleetPrice returns the total price per hour of all engines of a workload's fleet.
func fleetPrice(w Workload) float64 {
	s := &simulation{fleet: w.fleetOrDefault(), engines: map[string]*engine{}}
	s.build(0)
	price := 0.0
	for _, e := range s.engineList {
		price += e.upstream.PricePerHour
	}
	return price
}

// WriteTable prints the results of a workload as a table. results[i] is the result of
// policies[i].
func WriteTable(out io.Writer, w Workload, seed uint64, policies []NamedPolicy, results []*Result) {
	fmt.Fprintf(out, "%s, seed %d, %d requests\n", w.Name, seed, results[0].Requests)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tfirst p50\tp95\tp99\tbetween p50\tp95\tp99\twithin\tworst workspace\trefused\trecomputed\tbusy cost/1000\timbalance\t")
	for i, p := range policies {
		r := results[i]
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.1f%%\t%.1f%%\t%d\t%d\t%.4f\t%.2f\t\n", p.Name,
			ms(r.FirstToken[0]), ms(r.FirstToken[1]), ms(r.FirstToken[2]), ms(r.TokenGap[0]), ms(r.TokenGap[1]), ms(r.TokenGap[2]),
			r.WithinTarget*100, r.WorstWorkspaceWithin*100, r.Refused, r.Recomputed, r.BusyCostPer1000, r.Imbalance)
	}
	_ = t.Flush()
}

func ms(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }

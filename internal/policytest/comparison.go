package policytest

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"rattantide/internal/routing"
)

// Entry is a policy with its name.
type Entry struct {
	Name   string
	Policy routing.Policy
}

// Shipped is the name of the shipped policy among Policies.
const Shipped = "cost (shipped)"

// Policies returns the shipped policy and all baselines.
func Policies() []Entry {
	return []Entry{
		{Shipped, routing.NewCost()},
		{"random", routing.Random{}},
		{"least load", routing.LeastLoad{}},
		{"two choices", routing.TwoChoices{}},
		{"prefix hash", routing.PrefixHash{}},
	}
}

// targetShare is the share of requests within target at which capacity and
// cost are compared.
const targetShare = 0.95

// Capacity returns the highest factor of a workload's arrival rate, to 2%, at
// which a policy keeps targetShare of the requests within target, and the cost
// of 1,000 requests of the whole fleet at that rate. 0 means that no rate did.
func Capacity(policy routing.Policy, w Workload, seed uint64) (factor, costPer1000 float64) {
	low, high := 0.0, 4.0
	for high-low > 0.02 {
		middle := (low + high) / 2
		if Run(policy, w, middle, seed).Within >= targetShare {
			low = middle
		} else {
			high = middle
		}
	}
	if low == 0 {
		return 0, 0
	}
	r := Run(policy, w, low, seed)
	return low, fleetPrice() * w.Length.Hours() / float64(r.Requests) * 1000
}

// fleetPrice returns the price of all engines per hour.
func fleetPrice() float64 {
	s := &simulation{engines: map[string]*engine{}}
	s.build(0)
	price := 0.0
	for _, e := range s.order {
		price += e.upstream.PricePerHour
	}
	return price
}

// Write prints results of a workload as a table.
func Write(out io.Writer, w Workload, seed uint64, entries []Entry, results []*Result) {
	fmt.Fprintf(out, "%s, seed %d, %d requests\n", w.Name, seed, results[0].Requests)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tfirst p50\tp95\tp99\tbetween p50\tp95\tp99\twithin\tworst workspace\trefused\trecomputed\tbusy cost/1000\timbalance\t")
	for i, e := range entries {
		r := results[i]
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.1f%%\t%.1f%%\t%d\t%d\t%.4f\t%.2f\t\n", e.Name,
			ms(r.First[0]), ms(r.First[1]), ms(r.First[2]), ms(r.Between[0]), ms(r.Between[1]), ms(r.Between[2]),
			r.Within*100, r.WorstWorkspace*100, r.Refused, r.Recomputed, r.BusyCostPer1000, r.Imbalance)
	}
	_ = t.Flush()
}

func ms(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }

package policytest

import (
	"fmt"
	"io"
	"text/tabwriter"

	"rattantide/internal/routing"
)

// WritePromptTable prints the results of a workload by prompt length. results[i] is the
// result of policies[i].
func WritePromptTable(out io.Writer, w Workload, seed uint64, policies []NamedPolicy, results []*Result) {
	fmt.Fprintf(out, "%s, seed %d, %d requests\n", w.Name, seed, results[0].Requests)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tprompts\twithin\tfirst p99\tpauses\trefused\tprefilled again\timbalance\t")
	for i, p := range policies {
		r := results[i]
		for j, name := range promptLengths {
			g := r.Lengths[j]
			fmt.Fprintf(t, "%s\t%s\t%.1f%%\t%s\t%d\t%d\t\t\t\n", p.Name, name, g.WithinTarget*100, ms(g.FirstToken99), g.Pauses, g.Refused)
		}
		fmt.Fprintf(t, "%s\tall\t%.1f%%\t%s\t\t%d\t%d\t%.2f\t\n", p.Name, r.WithinTarget*100, ms(r.FirstToken[2]), r.Refused, r.Recomputed, r.Imbalance)
	}
	_ = t.Flush()
}

// promptPolicies returns the shipped policy without and with the term for prompts of different
// length.
func promptPolicies() []NamedPolicy {
	with := routing.NewCost()
	with.Terms = append(with.Terms, routing.PromptDelay)
	return []NamedPolicy{{"cost", routing.NewCost()}, {"cost, prompt delay", with}}
}

package cli

import (
	"context"
	"flag"
	"fmt"
	"net/http"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"rattantide/internal/burn"
)

// burnCommand prints how fast the classes consume their error budgets.
type burnCommand struct {
	commonFlags
}

// Name implements subcommands.Command.
func (*burnCommand) Name() string { return "burn" }

// Synopsis implements subcommands.Command.
func (*burnCommand) Synopsis() string { return "print error-budget burn rates and their main causes" }

// Usage implements subcommands.Command.
func (*burnCommand) Usage() string {
	return `burn [-address A,B,C] [-o table|json|html]

Merges the histograms of all daemons given with -address or RATTANTIDE_ADDRESS
and prints, for each target of each class, the burn rate over several windows,
the remaining error budget and what consumes most of it. A rate of 1 consumes
the budget exactly as fast as it accrues. Exit code 1 if some daemons do not
respond, 5 if none does.

  rattantide burn
  rattantide burn -o html > burn.html

`
}

// SetFlags implements subcommands.Command.
func (c *burnCommand) SetFlags(f *flag.FlagSet) { c.register(f, "table|json|html") }

// Execute implements subcommands.Command.
func (c *burnCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	code, err := c.run(ctx, f)
	if err != nil {
		reportError(c.env, "burn", err)
		return moreSevereCode(code, exitCode(err))
	}
	return code
}

func (c *burnCommand) run(ctx context.Context, f *flag.FlagSet) (subcommands.ExitStatus, error) {
	args, err := positionalArgs(f)
	if err != nil {
		return ExitUsage, err
	}
	if len(args) > 0 {
		return ExitUsage, usagef("takes no arguments, got %q", args[0])
	}
	if err := c.checkOutput("table", "json", "html"); err != nil {
		return ExitUsage, err
	}
	client, err := c.client()
	if err != nil {
		return ExitFailure, err
	}
	exports, code := c.fetchExports(ctx, client)
	if len(exports) == 0 {
		return code, nil
	}
	merged, err := burn.Merge(exports...)
	if err != nil {
		return ExitFailure, err
	}
	result, err := burn.NewReport(merged)
	if err != nil {
		return ExitFailure, err
	}
	switch c.output {
	case "json":
		return code, c.printJSON(result)
	case "html":
		return code, errors.Trace(result.WriteHTML(c.env.Stdout))
	}
	c.printTable(result)
	return code, nil
}

// fetchExports returns the exports of the daemons that respond. The figures are
// partial without the others, so each failure is printed and the exit code is
// not ExitOK.
func (c *burnCommand) fetchExports(ctx context.Context, client *Client) ([]*burn.Export, subcommands.ExitStatus) {
	var exports []*burn.Export
	code := ExitOK
	for _, address := range client.Addresses {
		export := &burn.Export{}
		if _, err := client.DoAt(ctx, address, http.MethodGet, "/burn", nil, export); err != nil {
			reportError(c.env, address, err)
			code = moreSevereCode(code, exitCode(err))
			continue
		}
		exports = append(exports, export)
	}
	if len(exports) > 0 && code != ExitOK {
		c.env.errorf("the figures leave out the daemons that did not respond")
		code = ExitFailure
	}
	return exports, code
}

func (c *burnCommand) printTable(r *burn.Report) {
	if len(r.Classes) == 0 {
		c.env.printf("no requests were recorded\n")
		return
	}
	columns := []string{"CLASS", "TARGET", "FOR"}
	for _, w := range burn.Windows {
		columns = append(columns, "BURN "+w.Name)
	}
	t := newTable(c.env.Stdout, append(columns, "BUDGET LEFT", "ALERT", "SPENT MOST BY")...)
	for _, class := range r.Classes {
		for _, g := range class.Goals {
			target := g.Name
			if g.LimitMs > 0 {
				target += fmt.Sprintf(" %g ms", g.LimitMs)
			}
			cells := []string{class.Class, target, formatPercent(g.Share)}
			for _, b := range g.Burn {
				cells = append(cells, fmt.Sprintf("%.2f", b.Rate))
			}
			spender := ""
			if len(g.Spenders) > 0 {
				top := g.Spenders[0]
				spender = fmt.Sprintf("%s %s (%d of %d bad)", top.Dimension, top.Value, top.Bad, top.Requests)
			}
			t.row(append(cells, formatPercent(g.BudgetLeft), string(g.Alert), spender)...)
		}
	}
	t.flush()
}

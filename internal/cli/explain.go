package cli

import (
	"context"
	"flag"
	"net/http"
	"net/url"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"rattantide/internal/admin"
	"rattantide/internal/problem"
)

// explainCommand prints the state of a request and the rule that applies to it, or what would
// happen to a request.
type explainCommand struct {
	commonFlags
	route routeFlags
}

// Name implements subcommands.Command.
func (*explainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCommand) Synopsis() string {
	return "print where a request is and which rule applies to it"
}

// Usage implements subcommands.Command.
func (*explainCommand) Usage() string {
	return `explain REQUEST-ID [-o table|json]
explain route -host HOST [-method METHOD] [-path PATH] [-workspace NAME]
  [-prompt-tokens N] [-max-tokens N] [-o table|json]

Queries each daemon given with -address or RATTANTIDE_ADDRESS for the request
with this X-Request-Id and prints its state and the rule that applies to it.

  rattantide explain 3f0c9a52

"explain route" prints what a rattantide-gateway would do with such a request now:
the route, the admission rule, the candidates with their scores term by term and
the age of each input, and the choice. It sends nothing and changes no state.
RATTANTIDE_ADDRESS then contains the addresses of the daemons' metrics.

  rattantide explain route -host chat.example -path /v1/ -prompt-tokens 9000

`
}

// SetFlags implements subcommands.Command.
func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	c.register(f, "table|json")
	c.route.register(f)
}

// Execute implements subcommands.Command.
func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.run(ctx, f)
	if err != nil {
		reportError(c.env, "explain", err)
	}
	return exitCode(err)
}

func (c *explainCommand) run(ctx context.Context, f *flag.FlagSet) error {
	args, err := positionalArgs(f)
	if err != nil {
		return err
	}
	if len(args) == 1 && args[0] == "route" {
		return c.runRoute(ctx)
	}
	if len(args) != 1 {
		return usagef("needs one REQUEST-ID")
	}
	if err := c.checkOutput("table", "json"); err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	explanation, err := findRequest(ctx, client, args[0])
	if err != nil {
		return err
	}
	if c.output == "json" {
		return c.printJSON(explanation)
	}
	t := newTable(c.env.Stdout, "REQUEST", explanation.ID)
	t.row("DAEMON", explanation.Daemon)
	t.row("STATE", explanation.State)
	t.row("RULE", explanation.Rule)
	t.row("DETAIL", explanation.Detail)
	t.row("WAITED", (time.Duration(explanation.WaitedMs) * time.Millisecond).String())
	t.row("WORKSPACE", explanation.Workspace)
	t.row("CLASS", explanation.Class)
	t.row("ROUTE", explanation.Route)
	t.row("UPSTREAM", explanation.Upstream)
	t.row("VERSION", explanation.Version)
	t.flush()
	return nil
}

// findRequest queries the daemons one after another, because only the daemon that
// serves a request has its state.
func findRequest(ctx context.Context, client *Client, id string) (*admin.Explanation, error) {
	var notFoundErr, lastErr error
	failedQueries := 0
	for _, address := range client.Addresses {
		explanation := &admin.Explanation{}
		_, err := client.DoAt(ctx, address, http.MethodGet, "/explain/"+url.PathEscape(id), nil, explanation)
		var p *problem.Problem
		switch {
		case err == nil:
			return explanation, nil
		case errors.As(err, &p) && p.Status == http.StatusNotFound:
			notFoundErr = err
		default:
			lastErr = err
			failedQueries++
		}
	}
	if notFoundErr == nil {
		return nil, lastErr
	}
	if failedQueries > 0 {
		return nil, errors.Errorf("the request was not found, but %d of %d daemons could not be queried; last error: %v",
			failedQueries, len(client.Addresses), lastErr)
	}
	return nil, notFoundErr
}

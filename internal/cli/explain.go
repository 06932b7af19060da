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

// explainCommand tells why a request is where it is.
type explainCommand struct {
	common
}

// Name implements subcommands.Command.
func (*explainCommand) Name() string { return "explain" }

// Synopsis implements subcommands.Command.
func (*explainCommand) Synopsis() string { return "tell where a request is and which rule holds it" }

// Usage implements subcommands.Command.
func (*explainCommand) Usage() string {
	return `explain REQUEST-ID [-o table|json]

Asks each daemon given with -address or RATTANTIDE_ADDRESS for the request with
this X-Request-Id and prints its state and the rule that holds it.

  rattantide explain 3f0c9a52

`
}

// SetFlags implements subcommands.Command.
func (c *explainCommand) SetFlags(f *flag.FlagSet) { c.register(f, "table|json") }

// Execute implements subcommands.Command.
func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.run(ctx, f)
	if err != nil {
		report(c.env, "explain", err)
	}
	return exitOf(err)
}

func (c *explainCommand) run(ctx context.Context, f *flag.FlagSet) error {
	args, err := positionals(f)
	if err != nil {
		return err
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
	found, err := find(ctx, client, args[0])
	if err != nil {
		return err
	}
	if c.output == "json" {
		return c.printJSON(found)
	}
	t := newTable(c.env.Stdout, "REQUEST", found.ID)
	t.row("DAEMON", found.Daemon)
	t.row("STATE", found.State)
	t.row("RULE", found.Rule)
	t.row("DETAIL", found.Detail)
	t.row("WAITED", (time.Duration(found.WaitedMs) * time.Millisecond).String())
	t.row("WORKSPACE", found.Workspace)
	t.row("CLASS", found.Class)
	t.row("ROUTE", found.Route)
	t.row("UPSTREAM", found.Upstream)
	t.row("VERSION", found.Version)
	t.flush()
	return nil
}

// find asks all daemons, because only the one that holds a request knows it.
func find(ctx context.Context, client *Client, id string) (*admin.Explanation, error) {
	var notFound, unanswered error
	missing := 0
	for _, address := range client.Addresses {
		found := &admin.Explanation{}
		_, err := client.DoAt(ctx, address, http.MethodGet, "/explain/"+url.PathEscape(id), nil, found)
		var p *problem.Problem
		switch {
		case err == nil:
			return found, nil
		case errors.As(err, &p) && p.Status == http.StatusNotFound:
			notFound = err
		default:
			unanswered = err
			missing++
		}
	}
	if notFound == nil {
		return nil, unanswered
	}
	if missing > 0 {
		return nil, errors.Errorf("no daemon that answered knows the request, but %d of %d did not answer: %v",
			missing, len(client.Addresses), unanswered)
	}
	return nil, notFound
}

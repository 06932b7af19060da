package cli

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"strings"

	"github.com/google/subcommands"

	"rattantide/internal/admin"
)

// statusCommand prints the state of the daemons and the version moves.
type statusCommand struct {
	commonFlags
}

// Name implements subcommands.Command.
func (*statusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*statusCommand) Synopsis() string {
	return "print the state of the daemons and the version moves"
}

// Usage implements subcommands.Command.
func (*statusCommand) Usage() string {
	return `status [-address A,B,C] [-o table|json]

Prints the state of each daemon given with -address or RATTANTIDE_ADDRESS, and
the version moves. Exit code 1 if some daemons do not respond, 5 if none does.

  rattantide status -address 127.0.0.1:7410,127.0.0.1:7411,127.0.0.1:7412

`
}

// SetFlags implements subcommands.Command.
func (c *statusCommand) SetFlags(f *flag.FlagSet) { c.register(f, "table|json") }

// Execute implements subcommands.Command.
func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := positionalArgs(f)
	if err == nil && len(args) > 0 {
		err = usagef("takes no arguments, got %q", args[0])
	}
	if err == nil {
		err = c.checkOutput("table", "json")
	}
	var client *Client
	if err == nil {
		client, err = c.client()
	}
	if err != nil {
		reportError(c.env, "status", err)
		return exitCode(err)
	}
	return c.fetchAndPrint(ctx, client)
}

// fetchAndPrint queries each daemon and prints the statuses received, or an error
// for each daemon without one.
func (c *statusCommand) fetchAndPrint(ctx context.Context, client *Client) subcommands.ExitStatus {
	statuses := []*admin.Status{}
	code := ExitOK
	for _, address := range client.Addresses {
		status := &admin.Status{}
		if _, err := client.DoAt(ctx, address, http.MethodGet, "/status", nil, status); err != nil {
			reportError(c.env, address, err)
			code = moreSevereCode(code, exitCode(err))
			continue
		}
		if status.Address == "" {
			status.Address = address
		}
		statuses = append(statuses, status)
	}
	if len(statuses) > 0 && code == ExitUnavailable {
		code = ExitFailure
	}
	if c.output == "json" {
		if err := c.printJSON(statuses); err != nil {
			return ExitFailure
		}
		return code
	}
	if len(statuses) > 0 {
		c.printDaemons(statuses)
		c.printMoves(statuses)
	}
	return code
}

func (c *statusCommand) printDaemons(statuses []*admin.Status) {
	t := newTable(c.env.Stdout, "NAME", "ADDRESS", "DOMAIN", "STATE", "REVISION", "IN FLIGHT", "WAITING", "DAEMONS", "UPSTREAMS", "LEASES")
	for _, s := range statuses {
		duties := make([]string, len(s.Leases))
		for i, lease := range s.Leases {
			duties[i] = lease.Duty
		}
		pools := make([]string, len(s.Upstreams))
		for i, p := range s.Upstreams {
			pools[i] = p.Pool + ":" + formatMembers(p.MemberCounts)
		}
		t.row(s.Name, s.Address, s.Domain, s.State, fmt.Sprint(s.Revision), fmt.Sprint(s.InFlight), fmt.Sprint(s.Waiting),
			formatMembers(s.Daemons), strings.Join(pools, " "), strings.Join(duties, ","))
	}
	t.flush()
}

// printMoves prints the moves as reported by the daemon with the highest
// configuration revision.
func (c *statusCommand) printMoves(statuses []*admin.Status) {
	newest := statuses[0]
	for _, s := range statuses {
		if s.Revision > newest.Revision {
			newest = s
		}
	}
	if len(newest.Moves) == 0 {
		return
	}
	c.env.printf("\n")
	t := newTable(c.env.Stdout, "MOVE", "POOL", "FROM", "TO", "PHASE", "SHARE", "DEADLINE", "REASON")
	for _, m := range newest.Moves {
		t.row(m.Name, m.Pool, m.From, m.To, string(m.Phase), formatPercent(m.Share), formatTime(m.DeadlineMs), m.Reason)
	}
	t.flush()
}

func formatMembers(m admin.MemberCounts) string {
	if m.Leaving == 0 {
		return fmt.Sprintf("%d live", m.Live)
	}
	return fmt.Sprintf("%d live, %d leaving", m.Live, m.Leaving)
}

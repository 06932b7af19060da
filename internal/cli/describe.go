package cli

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"time"

	"github.com/google/subcommands"

	"rattantide/internal/admin"
	"rattantide/internal/api"
)

// describeCommand prints an object and the objects that refer to it.
type describeCommand struct {
	commonFlags
}

// description is an object and the objects that refer to it.
type description struct {
	Object    *api.Object   `json:"object"`
	Referrers []*api.Object `json:"users"`
}

// Name implements subcommands.Command.
func (*describeCommand) Name() string { return "describe" }

// Synopsis implements subcommands.Command.
func (*describeCommand) Synopsis() string {
	return "print an object in full and the objects that refer to it"
}

// Usage implements subcommands.Command.
func (*describeCommand) Usage() string {
	return `describe KIND NAME [-o table|json]

Prints an object in full and the objects that refer to it. For a version move,
prints the evidence too.

  rattantide describe pool briefs
  rattantide describe versionmove briefs-v2

`
}

// SetFlags implements subcommands.Command.
func (c *describeCommand) SetFlags(f *flag.FlagSet) { c.register(f, "table|json") }

// Execute implements subcommands.Command.
func (c *describeCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.run(ctx, f)
	if err != nil {
		reportError(c.env, "describe", err)
	}
	return exitCode(err)
}

func (c *describeCommand) run(ctx context.Context, f *flag.FlagSet) error {
	if err := c.checkOutput("table", "json"); err != nil {
		return err
	}
	kind, name, err := kindAndName(f)
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	d := &description{Object: &api.Object{}, Referrers: []*api.Object{}}
	header, err := client.Do(ctx, http.MethodGet, objectPath(kind, name), nil, d.Object)
	if err != nil {
		return err
	}
	c.warnIfLocal(header.Get(admin.SourceHeader))
	if d.Referrers, err = referrersOf(ctx, client, kind, name); err != nil {
		return err
	}
	if c.output == "json" {
		return c.printJSON(d)
	}
	return c.printText(d)
}

func (c *describeCommand) printText(d *description) error {
	c.env.printf("%s/%s (version %d)\n\n", d.Object.Kind, d.Object.Name, d.Object.Version)
	if err := c.printYAML(map[string]any{"spec": d.Object.Spec}); err != nil {
		return err
	}
	if d.Object.Kind == api.KindVersionMove {
		c.printMove(moveStatus(d.Object))
	}
	if len(d.Referrers) > 0 {
		c.env.printf("\nReferred to by:\n")
		t := newTable(c.env.Stdout, "KIND", "NAME", "VERSION")
		for _, referrer := range d.Referrers {
			t.row(string(referrer.Kind), referrer.Name, fmt.Sprint(referrer.Version))
		}
		t.flush()
	}
	return nil
}

func (c *describeCommand) printMove(s *api.MoveStatus) {
	c.env.printf("\nphase     %s\nshare     %s\nverdict   %s\nreason    %s\ndeclared  %s\ndeadline  %s\n",
		s.Phase, formatPercent(s.Share), orDash(s.Verdict), orDash(s.Reason), formatTime(s.DeclaredMs), formatTime(s.DeadlineMs))
	if s.EndedMs > 0 {
		c.env.printf("ended     %s\n", formatTime(s.EndedMs))
	}
	if len(s.Evidence) == 0 {
		return
	}
	c.env.printf("\nEvidence:\n")
	t := newTable(c.env.Stdout, "VERSION", "ROUTE", "LOAD", "REQUESTS", "ERRORS", "P95")
	for _, e := range s.Evidence {
		t.row(e.Version, e.Route, e.LoadBand, fmt.Sprint(e.Requests), fmt.Sprint(e.Errors), fmt.Sprintf("%.1f ms", e.P95Ms))
	}
	t.flush()
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// formatTime formats a time in milliseconds since the Unix epoch, and 0 as "-".
func formatTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

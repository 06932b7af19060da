package cli

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"sort"
	"strconv"

	"rattantide/internal/routeexplain"
)

// routeFlags hold the request that "explain route" describes.
type routeFlags struct {
	query routeexplain.Query
}

func (r *routeFlags) register(f *flag.FlagSet) {
	f.StringVar(&r.query.Method, "method", http.MethodPost, "route: `method` of the request")
	f.StringVar(&r.query.Host, "host", "", "route: `host` of the request")
	f.StringVar(&r.query.Path, "path", "/", "route: `path` of the request")
	f.StringVar(&r.query.Workspace, "workspace", "", "route: `name` of the caller's workspace")
	f.IntVar(&r.query.PromptTokens, "prompt-tokens", 0, "route: `tokens` of the prompt")
	f.IntVar(&r.query.MaxTokens, "max-tokens", 0, "route: `tokens` of the answer")
}

// runRoute prints what would happen to the request at the first daemon that responds.
func (c *explainCommand) runRoute(ctx context.Context) error {
	if err := c.checkOutput("table", "json"); err != nil {
		return err
	}
	values := c.route.query.Values()
	if _, faults := routeexplain.ParseQuery(values); len(faults) > 0 {
		return usagef("invalid request: %q", faults)
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	explanation := &routeexplain.Explanation{}
	if _, err := client.Do(ctx, http.MethodGet, routeexplain.Path+"?"+values.Encode(), nil, explanation); err != nil {
		return err
	}
	if c.output == "json" {
		return c.printJSON(explanation)
	}
	c.printRoute(explanation)
	return nil
}

func (c *explainCommand) printRoute(e *routeexplain.Explanation) {
	t := newTable(c.env.Stdout, "ROUTE", e.Route)
	t.row("DAEMON", e.Daemon)
	t.row("SERVICE", e.Service)
	t.row("WORKSPACE", e.Workspace)
	t.row("CONFIG", fmt.Sprintf("version %d, %s old", e.ConfigVersion, formatAge(e.ConfigAgeMs)))
	t.row("VERSIONS", fmt.Sprint(e.Versions))
	t.row("ADMISSION", fmt.Sprintf("%s, wait %d ms, %d of %d in flight, %d waiting", e.Admission.Rule, e.Admission.WaitMs,
		e.Admission.InFlight, e.Admission.Limit, e.Admission.Waiting))
	t.row("CHOICE", e.Choice)
	t.flush()
	if len(e.Candidates) == 0 {
		return
	}
	fmt.Fprintln(c.env.Stdout)
	header := []string{"UPSTREAM", "VERSION", "SCORE"}
	for _, part := range e.Candidates[0].Parts {
		header = append(header, part.Name)
	}
	t = newTable(c.env.Stdout, append(header, "RUNNING", "WAITING", "SLOTS", "BACKLOG", "CACHED", "LOAD AGE", "STATE AGE", "GATHERS")...)
	candidates := append([]routeexplain.Candidate(nil), e.Candidates...)
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].Score < candidates[j].Score })
	for _, candidate := range candidates {
		row := []string{candidate.Upstream, candidate.Version, fmt.Sprintf("%.4f", candidate.Score)}
		for _, part := range candidate.Parts {
			row = append(row, fmt.Sprintf("%.4f", part.Seconds))
		}
		t.row(append(row, fmt.Sprintf("%.1f", candidate.Running), fmt.Sprintf("%.1f", candidate.Waiting), strconv.Itoa(candidate.Slots),
			fmt.Sprintf("%.0f", candidate.BacklogTokens), fmt.Sprintf("%.0f", candidate.CachedTokens),
			formatAge(candidate.LoadAgeMs), formatAge(candidate.StateAgeMs), strconv.FormatBool(candidate.Gathers))...)
	}
	t.flush()
}

// formatAge formats an age in milliseconds; a negative one is unknown.
func formatAge(ms int64) string {
	if ms < 0 {
		return ""
	}
	return fmt.Sprintf("%d ms", ms)
}

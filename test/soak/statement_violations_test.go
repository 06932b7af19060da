package soak

import (
	"fmt"
	"strconv"
	"time"

	"rattantide/internal/standin/runner"
)

const (
	// drainBound is the time after which a daemon must send nothing to a runner that has said
	// that it leaves.
	drainBound = 2 * time.Second
	// backoffSlack is the time after which a backoff binds, and maxBackoffArrivals the number of requests
	// of one daemon that may reach the runner in the remainder.
	backoffSlack       = 500 * time.Millisecond
	maxBackoffArrivals = 2
)

// departure is a span in which a runner said in its responses that it leaves.
type departure struct {
	runner   *runner.Runner
	link     *link
	from, to time.Time
}

// statementViolations describes the requests that daemons sent to runners although these had
// told them that they leave or asked for a backoff.
func statementViolations(f *fleet, calls []call) []string {
	byID := map[string]*call{}
	for i := range calls {
		byID[calls[i].id] = &calls[i]
	}
	var out []string
	for _, d := range f.departures {
		out = append(out, d.violations(calls, byID)...)
	}
	for i, r := range f.runners {
		out = append(out, backoffViolations(r, f.runnerLinks[i], byID)...)
	}
	return out
}

// violations describes the requests that reached the runner too late after a daemon had passed
// on its statement.
func (d *departure) violations(calls []call, byID map[string]*call) []string {
	heardAt := map[*node]time.Time{}
	for i := range calls {
		c := &calls[i]
		isStatement := c.isLeaving && c.isComplete && c.seal == "seal-"+d.runner.ID+"-"+c.id && c.sentAt.After(d.from) && c.endedAt.Before(d.to)
		if earliest, ok := heardAt[c.node]; isStatement && (!ok || c.endedAt.Before(earliest)) {
			heardAt[c.node] = c.endedAt
		}
	}
	var out []string
	for _, a := range d.runner.Arrivals() {
		c := byID[a.AttemptID]
		if c == nil || !a.At.Before(d.to) {
			continue
		}
		heard, ok := heardAt[c.node]
		if ok && c.sentAt.After(heard.Add(drainBound)) && !c.node.disturbances.overlap(heard, a.At) && !d.link.disturbances.overlap(heard, a.At) {
			out = append(out, fmt.Sprintf("%s reached runner %s from %s %s after it had said that it leaves", a.AttemptID, d.runner.ID, c.node.name, a.At.Sub(heard)))
		}
	}
	return out
}

// backoffViolations describes the backoffs in which too many requests of the daemon that was told
// reached the runner.
func backoffViolations(r *runner.Runner, l *link, byID map[string]*call) []string {
	var out []string
	arrivals := r.Arrivals()
	for i, a := range arrivals {
		seconds, err := strconv.ParseFloat(a.Backoff, 64)
		told := byID[a.AttemptID]
		if err != nil || told == nil {
			continue
		}
		until := a.At.Add(time.Duration(seconds * float64(time.Second)))
		count := 0
		for _, later := range arrivals[i+1:] {
			c := byID[later.AttemptID]
			if c != nil && c.node == told.node && later.At.After(a.At.Add(backoffSlack)) && later.At.Before(until) {
				count++
			}
		}
		if count > maxBackoffArrivals && !told.node.disturbances.overlap(a.At, until) && !l.disturbances.overlap(a.At, until) {
			out = append(out, fmt.Sprintf("%d requests reached runner %s from %s in its backoff of %s s", count, r.ID, told.node.name, a.Backoff))
		}
	}
	return out
}

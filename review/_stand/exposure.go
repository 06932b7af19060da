package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

const (
	oldVersion, newVersion = "v1", "v2"
	runnersPerVersion      = 4
	// The bounds of the rule EXPOSURE, as in the settings.
	exposureShare = 0.1
	exposureSlack = 50
	rollbackTime  = 5 * time.Second
	// badAnswers is the number of bad answers after which rollbackTime begins.
	badAnswers = 50
	warmUp     = 4 * time.Second
	// runnerDelay is the time from the order until the runners of the new version serve.
	runnerDelay = 300 * time.Millisecond
	// drainDelay is the time from rolled_back until the new runners report draining, and
	// drainTime the time until they end after that.
	drainDelay = 2 * time.Second
	drainTime  = 2500 * time.Millisecond
)

// exposureCase is what differs between the cases of the rule EXPOSURE.
type exposureCase struct {
	daemons   int
	rate      int
	timeLimit time.Duration
	routes    []routeLoad
	// fails reports whether the new version fails a request, sinceOrder after the order.
	fails func(path string, number int, sinceOrder time.Duration) bool
}

var bookingRoutes = []routeLoad{
	{path: "/commit/", service: serviceName, share: 0.72},
	{path: "/lookup/", service: serviceName, idempotent: true, share: 0.23},
	{path: "/pots/", service: serviceName, share: 0.05},
}

// writeManifest stores the operator's manifest.
func (r *run) writeManifest(routes []routeLoad) {
	var list, services []map[string]any
	known := map[string]bool{}
	for _, route := range routes {
		if !known[route.service] {
			known[route.service] = true
			services = append(services, map[string]any{"name": route.service, "healthPath": healthPath, "maxConns": 620})
		}
		kind, attempts := "non_idempotent", 1
		if route.idempotent {
			kind, attempts = "idempotent", 2
		}
		list = append(list, map[string]any{
			"name": "r" + strings.ReplaceAll(route.path, "/", "-"), "host": hostName, "pathPrefix": route.path, "kind": kind, "timeoutMs": 2500,
			"targetLatencyMs": 150, "priority": 1, "service": route.service, "maxAttempts": attempts, "public": false,
		})
	}
	r.store.Set("config", "main", map[string]any{
		"version": 1, "routes": list,
		"services": services,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "kitchens", "apiKeys": []string{apiKey}}},
	})
}

// rolloutState returns the state that the system has written for the roll-out of a service to
// a version.
func (r *run) rolloutState(service, version string) string {
	o := r.store.Object("rollouts", service)
	if o == nil || len(o.Status) == 0 {
		return ""
	}
	var status struct {
		State  string `json:"state"`
		Target string `json:"target"`
	}
	_ = json.Unmarshal(o.Status, &status)
	if status.Target != version {
		return ""
	}
	return status.State
}

// leader returns the daemon that holds the duties, according to the lease in the store.
func (r *run) leader() *daemon {
	o := r.store.Object("lease", "duties")
	if o == nil {
		return nil
	}
	var lease struct {
		Holder string `json:"holder"`
	}
	_ = json.Unmarshal(o.Spec, &lease)
	for _, d := range r.daemons {
		if d.name == lease.Holder {
			return d
		}
	}
	return nil
}

// runExposure plays a roll-out and checks the rule EXPOSURE.
func (r *run) runExposure(c exposureCase) (bool, error) {
	r.writeManifest(c.routes)
	for i := range runnersPerVersion {
		if _, err := r.addRunner(serviceName, fmt.Sprintf("i-old-%d", i), oldVersion, nil); err != nil {
			return false, err
		}
	}
	if err := r.startDaemons(c.daemons, c.daemons); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	load := r.startClients(ctx, c.rate, c.routes)
	time.Sleep(warmUp)
	for wait := 0; r.leader() == nil; wait++ {
		if wait > 100 {
			return false, errors.New("no daemon holds the duties")
		}
		time.Sleep(100 * time.Millisecond)
	}
	orderedAt := time.Now()
	r.order(serviceName, newVersion, c.timeLimit)
	if err := r.followRollout(c, orderedAt); err != nil {
		return false, err
	}
	cancel()
	load.open.Wait()
	load.logStatuses()
	return r.checkExposure(load, serviceName, []string{oldVersion}, newVersion, orderedAt, c.timeLimit), nil
}

// order writes the operator's order of a version.
func (r *run) order(service, version string, timeLimit time.Duration) {
	r.store.Set("rollouts", service, map[string]any{"service": service, "target": version, "completeByS": timeLimit.Seconds()})
	r.logf("operator orders version %s of %s, to be complete within %s", version, service, timeLimit)
}

// followRollout starts the runners of the new version and acts on the state of the roll-out
// until its time limit.
func (r *run) followRollout(c exposureCase, orderedAt time.Time) error {
	time.Sleep(runnerDelay)
	var number atomic.Int64
	for i := range runnersPerVersion {
		fails := func(path string, _ int) bool {
			return c.fails != nil && c.fails(path, int(number.Add(1)), time.Since(orderedAt))
		}
		if _, err := r.addRunner(serviceName, fmt.Sprintf("i-new-%d", i), newVersion, fails); err != nil {
			return err
		}
	}
	last := ""
	for time.Since(orderedAt) < c.timeLimit {
		time.Sleep(20 * time.Millisecond)
		state := r.rolloutState(serviceName, newVersion)
		if state == last {
			continue
		}
		last = state
		r.logf("state of the roll-out: %s", state)
		switch state {
		case "complete":
			r.stopVersion(serviceName, oldVersion)
		case "rolled_back":
			go r.drainVersion(serviceName, newVersion, drainDelay)
		}
	}
	return nil
}

func (r *run) stopVersion(service, version string) {
	for _, s := range r.runnersOf(service, version) {
		s.stop()
	}
}

// drainVersion makes the runners of a version report after a delay that they drain, and ends
// them.
func (r *run) drainVersion(service, version string, delay time.Duration) {
	time.Sleep(delay)
	for _, s := range r.runnersOf(service, version) {
		s.mu.Lock()
		s.state = "draining"
		s.mu.Unlock()
		s.register()
		r.logf("runner %s drains", s.id)
	}
	time.Sleep(drainTime)
	r.stopVersion(service, version)
}

// checkExposure checks both parts of the rule EXPOSURE for a version of a service, for the
// requests that daemons in touch passed on; only those that are killed are not in touch here.
func (r *run) checkExposure(load *clients, service string, others []string, version string, orderedAt time.Time, timeLimit time.Duration) bool {
	end := orderedAt.Add(timeLimit)
	inTouch := func(run serverRun) bool {
		sent, known := load.sent[run.id]
		for _, d := range r.daemons {
			if known && d.isRemoved && sent.address == r.callerAddress(d) {
				return false
			}
		}
		return known
	}
	within := func(run serverRun) bool { return run.at.After(orderedAt) && run.at.Before(end) }
	total, bad := 0, 0
	for _, other := range others {
		for _, run := range r.allRuns(service, other) {
			if within(run) {
				total++
			}
		}
	}
	newRuns := r.allRuns(service, version)
	var failures []time.Time
	for _, run := range newRuns {
		if !within(run) {
			continue
		}
		total++
		if inTouch(run) {
			bad++
		}
		if !run.failedAt.IsZero() {
			failures = append(failures, run.failedAt)
		}
	}
	limit := exposureShare*float64(total) + exposureSlack
	r.logf("EXPOSURE, first part: of %d requests that reached %s until the time limit, daemons in touch sent %d to version %s; allowed are %.0f; bad answers: %d", total, service, bad, version, limit, len(failures))
	broken := len(failures) > 0 && float64(bad) > limit
	if len(failures) < badAnswers {
		r.logf("EXPOSURE, second part: fewer than %d bad answers", badAnswers)
		return broken
	}
	slices.SortFunc(failures, time.Time.Compare)
	lastAllowed := failures[badAnswers-1].Add(rollbackTime)
	late := 0
	for _, run := range newRuns {
		if within(run) && inTouch(run) && load.sent[run.id].at.After(lastAllowed) {
			late++
		}
	}
	r.logf("EXPOSURE, second part: bad answer number %d came at %.3f s; %d requests that were sent more than %s later reached it", badAnswers, failures[badAnswers-1].Sub(r.start).Seconds(), late, rollbackTime)
	return broken || late > 0
}

// everySecond reports whether a request is one of the half that fails.
func everySecond(number int) bool { return number%2 == 0 }

// exposureLater makes the new version turn bad after half of the time limit.
func exposureLater(r *run) (bool, error) {
	const timeLimit = 16 * time.Second
	return r.runExposure(exposureCase{
		daemons: 3, rate: 200, timeLimit: timeLimit, routes: bookingRoutes,
		fails: func(_ string, number int, sinceOrder time.Duration) bool {
			return r.trouble && sinceOrder > timeLimit/2 && everySecond(number)
		},
	})
}

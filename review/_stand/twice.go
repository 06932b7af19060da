package main

import (
	"context"
	"fmt"
	"slices"
	"time"
)

const (
	modelRunners = 20
	// faultyRunners is the number of model runners that send answers twice: 0.6 of them.
	faultyRunners = 12
	modelRate     = 20
	modelTime     = 90 * time.Second
	// overlapLimit is the time for which a runner may still work on a request that goes on at
	// another one.
	overlapLimit = 400 * time.Millisecond
)

// twiceExtra makes model runners send some of their refusals a second time, at the point where
// the next answer on the connection is expected, and checks the rule TWICE of model runners.
func twiceExtra(r *run) (bool, error) {
	r.store.Set("config", "main", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r-chat", "host": hostName, "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 500, "priority": 1,
			"service": modelService, "maxAttempts": 3, "public": false, "sessionAffinity": true, "streamResume": true, "gapTargetMs": 400,
		}},
		"services": []map[string]any{{
			"name": modelService, "healthPath": healthPath, "maxConns": 620,
			"engine": map[string]any{"slots": modelSlots, "kvCapacity": 746177, "models": []map[string]any{{"name": "m"}}},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "kitchens", "apiKeys": []string{apiKey}}},
	})
	var runners []*modelRunner
	for i := range modelRunners {
		m, err := r.addModelRunner(fmt.Sprintf("i-model-%d", i), r.trouble && i < faultyRunners)
		if err != nil {
			return false, err
		}
		runners = append(runners, m)
	}
	if err := r.startDaemons(3); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), modelTime)
	defer cancel()
	load := r.startClients(ctx, modelRate, []routeLoad{{path: "/chat/", isModel: true, share: 1}})
	<-ctx.Done()
	load.open.Wait()
	time.Sleep(2 * time.Second)
	load.logStatuses()
	sheds, extras := 0, 0
	for _, m := range runners {
		m.mu.Lock()
		sheds, extras = sheds+m.sheds, extras+m.extras
		m.mu.Unlock()
	}
	r.logf("refusals of full runners: %d, sent twice: %d", sheds, extras)
	return r.checkTwice(), nil
}

// checkTwice checks that no runner works on a request longer than overlapLimit after it went on
// at another one.
func (r *run) checkTwice() bool {
	r.modelRuns.mu.Lock()
	defer r.modelRuns.mu.Unlock()
	broken := 0
	for id, runs := range r.modelRuns.byID {
		slices.SortFunc(runs, func(a, b modelRun) int { return a.start.Compare(b.start) })
		for i := range runs[:len(runs)-1] {
			first, next := runs[i], runs[i+1]
			overlap := first.end.Sub(next.start)
			if first.runner == next.runner || overlap <= overlapLimit {
				continue
			}
			broken++
			r.logf("TWICE: %s went on at %s at %.3f s; %s worked on it until %.3f s", id, next.runner, next.start.Sub(r.start).Seconds(), first.runner, first.end.Sub(r.start).Seconds())
		}
	}
	r.logf("TWICE: %d requests went on at another runner while the first one worked on them for over %s", broken, overlapLimit)
	return broken > 0
}

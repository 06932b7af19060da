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
	// modelRate is the number of streams and calls a second.
	modelRate = 60
	modelTime = 60 * time.Second
	// overlapLimit is the time for which a runner may still work on a request that goes on at
	// another one.
	overlapLimit = 400 * time.Millisecond
)

// twiceExtra makes model runners send some of their answers without a body a second time, at the
// point where the next answer on the connection is expected, and checks the rule TWICE of model
// runners.
func twiceExtra(r *run) (bool, error) {
	r.store.Set("config", "main", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r-chat", "host": hostName, "pathPrefix": modelPath, "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 500, "priority": 1,
			"service": modelService, "maxAttempts": 2, "public": false, "sessionAffinity": true, "streamResume": true, "gapTargetMs": 400,
		}, {
			"name": "r-keep", "host": hostName, "pathPrefix": keepPath, "kind": "idempotent", "timeoutMs": 2000, "targetLatencyMs": 150, "priority": 1,
			"service": modelService, "maxAttempts": 2, "public": false,
		}},
		"services": []map[string]any{{
			"name": modelService, "healthPath": healthPath, "maxConns": 620,
			"engine": map[string]any{"slots": modelSlots, "kvCapacity": 746177, "models": []map[string]any{{"name": "m"}}},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "kitchens", "apiKeys": []string{apiKey}}},
	})
	for i := range modelRunners {
		_, err := r.addModelRunner(fmt.Sprintf("i-model-%d", i), r.trouble && i < faultyRunners)
		if err != nil {
			return false, err
		}
	}
	if err := r.startDaemons(3, 3); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), modelTime)
	defer cancel()
	load := r.startClients(ctx, modelRate, []routeLoad{{path: modelPath, isModel: true, share: 0.2}, {path: keepPath, idempotent: true, share: 0.8}})
	<-ctx.Done()
	load.open.Wait()
	time.Sleep(2 * time.Second)
	load.logStatuses()
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

package main

import (
	"context"
	"fmt"
	"time"
)

const (
	liveDaemons = 3
	// replacements is the number of machines that are replaced, one each replaceInterval.
	replacements    = 36
	replaceInterval = 1200 * time.Millisecond
	// replaceOverlap is the time from the start of the new machine to the end of the old one.
	replaceOverlap = 700 * time.Millisecond
	recoverRate    = 150
	// The allotment of the tenant and the tokens that a request counts, per second and per
	// request: the tenant asks for 0.52 of its allotment.
	allotment     = 441068
	requestTokens = 1540
	calmTime      = 12 * time.Second
	downTime      = time.Second
	// The bounds of the rule RECOVER: the time after which it holds, and the least share of
	// requests that is served then.
	recoveryTime  = 12 * time.Second
	recoveryShare = 0.25
	// judgedTime is the time for which requests are counted after recoveryTime.
	judgedTime = 12 * time.Second
)

// recoverReplaced replaces machines one after the other, as reclaimable ones are, then kills
// all processes at once, and checks the rule RECOVER.
func recoverReplaced(r *run) (bool, error) {
	r.store.Set("config", "main", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "r-lookup", "host": hostName, "pathPrefix": "/lookup/", "kind": "idempotent", "timeoutMs": 2500, "targetLatencyMs": 150, "priority": 1,
			"service": serviceName, "maxAttempts": 2, "public": false,
		}},
		"services": []map[string]any{{"name": serviceName, "healthPath": healthPath, "maxConns": 620}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{
			"name": "kitchens", "apiKeys": []string{apiKey}, "unit": "token_count", "plainTokens": requestTokens, "ratePerS": allotment, "burst": allotment,
		}},
	})
	for i := range runnersPerVersion {
		if _, err := r.addRunner(serviceName, fmt.Sprintf("i-old-%d", i), oldVersion, nil); err != nil {
			return false, err
		}
	}
	if err := r.startDaemons(liveDaemons, liveDaemons+replacements); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	load := r.startClients(ctx, recoverRate, []routeLoad{{path: "/lookup/", idempotent: true, share: 1}})
	time.Sleep(calmTime)
	if r.trouble {
		if err := r.replaceDaemons(); err != nil {
			return false, err
		}
	} else {
		time.Sleep(replacements * replaceInterval)
	}
	faultAt := time.Now()
	r.logf("final fault: all processes are killed")
	var live []*daemon
	for _, d := range r.daemons {
		if !d.isRemoved {
			live = append(live, d)
			d.kill()
		}
	}
	time.Sleep(downTime)
	for _, d := range live {
		if err := r.startProcess(d); err != nil {
			return false, err
		}
	}
	backAt := time.Now()
	r.logf("the processes are back")
	time.Sleep(recoveryTime + judgedTime)
	cancel()
	load.open.Wait()
	load.logStatuses()
	before := load.servedShare(r.start, faultAt)
	after := load.servedShare(backAt.Add(recoveryTime), time.Now())
	r.logf("RECOVER: served %.3f of the requests before the final fault, %.3f of those sent later than %s after the machines were back", before, after, recoveryTime)
	return before >= recoveryShare && after < recoveryShare, nil
}

// replaceDaemons replaces the oldest daemon by one at another address, replacements times.
func (r *run) replaceDaemons() error {
	for i := range replacements {
		start := time.Now()
		d := r.newDaemon()
		if err := r.startProcess(d); err != nil {
			return err
		}
		time.Sleep(replaceOverlap)
		r.remove(r.daemons[i])
		time.Sleep(time.Until(start.Add(replaceInterval)))
	}
	return nil
}

// servedShare returns the share of the attempts sent between two times that were answered with
// success.
func (c *clients) servedShare(from, to time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent, served := 0, 0
	for _, s := range c.sent {
		if s.at.Before(from) || !s.at.Before(to) {
			continue
		}
		sent++
		if s.status == 200 {
			served++
		}
	}
	return float64(served) / float64(max(1, sent))
}

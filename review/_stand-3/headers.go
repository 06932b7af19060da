package main

import (
	"fmt"
	"strings"
	"time"
)

// Case "headers": a manifest raises maxHeaderBytes. Clients that stay within the new limit go on
// to use the connections that they have.
const (
	headersDaemons = 3
	// smallLimit and largeLimit are maxHeaderBytes before and after, and headerBytes the size of
	// the large header that clients send after the change.
	smallLimit  = 8 << 10
	largeLimit  = 32 << 10
	headerBytes = 20 << 10
	// headerClients is the number of clients of each daemon. Each keeps one connection.
	headerClients = 30
	// applyTime exceeds configApplyMs, and is shorter than four fifths of idleTimeoutMs.
	applyTime = 4 * time.Second
)

func playHeaders(d *deployment, rec *record, trouble bool) (bool, error) {
	for i := range 9 {
		r, err := startPlainRunner(fmt.Sprintf("i-%d", i+1), 16, 30*time.Millisecond, rec)
		if err != nil {
			return false, err
		}
		r.framed = true
		d.register(r.id, "workshop-app", r.address(), 16)
	}
	services := []map[string]any{{"name": "workshop-app", "healthPath": "/health", "maxConns": 110}}
	lookup := route{"lookup", "workshop-app", "idempotent", 2, 4 * time.Second, 1000 * time.Millisecond}
	d.headerLimit = largeLimit
	if trouble {
		d.headerLimit = smallLimit
	}
	d.writeManifest(services, lookup)
	if err := d.startDaemons(headersDaemons); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	var all []*clients
	for range headerClients {
		all = append(all, newClients(d, rec, 4*time.Second))
	}
	send := func(rounds int, padding string) {
		for round := range rounds {
			for i, c := range all {
				c.prefix, c.padding = fmt.Sprintf("c%d", i), padding
				for to := range d.daemons {
					c.send("GET", fmt.Sprintf("/lookup/job-%d", round), to)
				}
				time.Sleep(20 * time.Millisecond)
			}
			for _, c := range all {
				c.open.Wait()
			}
		}
	}
	started := time.Now()
	send(2, "")
	if trouble {
		d.headerLimit = largeLimit
		d.writeManifest(services, lookup)
		rec.say("the manifest with maxHeaderBytes %d is acknowledged", largeLimit)
	}
	changedAt := time.Now()
	time.Sleep(applyTime)
	send(3, strings.Repeat("p", headerBytes))
	var before, after []answer
	for _, c := range all {
		before = append(before, c.between(started, changedAt)...)
		after = append(after, c.between(changedAt, time.Now())...)
	}
	refused := statuses(after)[431]
	allowed := 5 + (len(before)+len(after))/500
	rec.say("before the change: %v", statuses(before))
	rec.say("headers of %d bytes, sent %v after the ack and later: %v", headerBytes, applyTime, statuses(after))
	rec.say("%d proper requests were refused with 431; %d are allowed", refused, allowed)
	return refused > allowed, nil
}

package main

import (
	"fmt"
	"time"
)

// Case "keyless": a manifest takes away the last tenant, with all keys. Clients go on to send
// requests with the key that was taken away, and with one that no manifest ever held.
const (
	keylessDaemons = 3
	// revokeTime is revokeMs of the settings.
	revokeTime = 5 * time.Second
	// strangerKey is a key that no manifest holds.
	strangerKey     = "key-of-nobody"
	keylessInterval = 50 * time.Millisecond
	keylessBefore   = 3 * time.Second
	keylessAfter    = 12 * time.Second
)

func playKeyless(d *deployment, rec *record, trouble bool) (bool, error) {
	var runners []*plainRunner
	for i := range 3 {
		r, err := startPlainRunner(fmt.Sprintf("i-%d", i+1), 6, 30*time.Millisecond, rec)
		if err != nil {
			return false, err
		}
		r.framed = true
		runners = append(runners, r)
		d.register(r.id, "workshop-app", r.address(), 6)
	}
	services := []map[string]any{{"name": "workshop-app", "healthPath": "/health", "maxConns": 110}}
	order := route{"order", "workshop-app", "non_idempotent", 1, 4 * time.Second, 300 * time.Millisecond}
	d.writeManifest(services, order)
	if err := d.startDaemons(keylessDaemons); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	member, stranger := newClients(d, rec, 4*time.Second), newClients(d, rec, 4*time.Second)
	member.prefix, stranger.prefix, stranger.key = "member", "stranger", strangerKey
	started := time.Now()
	var ackAt time.Time
	for n := 0; ackAt.IsZero() || time.Since(ackAt) < keylessAfter; n++ {
		if ackAt.IsZero() && time.Since(started) > keylessBefore {
			if trouble {
				d.tenants = []any{}
				d.writeManifest(services, order)
				rec.say("the manifest without the last tenant is acknowledged")
			}
			ackAt = time.Now()
		}
		member.send("POST", "/order/1", n%keylessDaemons)
		stranger.send("POST", "/order/1", n%keylessDaemons)
		time.Sleep(keylessInterval)
	}
	member.open.Wait()
	stranger.open.Wait()
	ran := func(answers []answer) (count int) {
		for _, a := range answers {
			for _, r := range runners {
				count += r.runCount(a.id)
			}
		}
		return count
	}
	late := member.between(ackAt.Add(revokeTime), time.Now())
	foreign := stranger.between(started, time.Now())
	lateRuns, foreignRuns := ran(late), ran(foreign)
	rec.say("key of the tenant, before the ack: %v", statuses(member.between(started, ackAt)))
	rec.say("the same key, sent later than revokeMs after the ack: %v, %d of %d ran", statuses(late), lateRuns, len(late))
	rec.say("a key that no manifest held: %v, %d of %d ran", statuses(foreign), foreignRuns, len(foreign))
	return foreignRuns > 0 || trouble && lateRuns > 0, nil
}

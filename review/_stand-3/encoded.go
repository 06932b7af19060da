package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Case "encoded": orders, which run once at most, lie below one prefix, and their status, which
// may be asked for again, below a longer one. An order's name contains a slash, which its client
// encodes. Some runners lose answers for some seconds.
const (
	encodedDaemons   = 3
	encodedRunners   = 6
	encodedLossCount = 3
	encodedInterval  = 20 * time.Millisecond
	encodedBefore    = 3 * time.Second
	encodedLossTime  = 4 * time.Second
	encodedAfter     = 3 * time.Second
)

func playEncoded(d *deployment, rec *record, trouble bool) (bool, error) {
	var runners []*plainRunner
	for i := range encodedRunners {
		r, err := startPlainRunner(fmt.Sprintf("i-%d", i+1), 6, 30*time.Millisecond, rec)
		if err != nil {
			return false, err
		}
		r.framed = true
		runners = append(runners, r)
		d.register(r.id, "workshop-app", r.address(), 6)
	}
	d.writeManifest([]map[string]any{{"name": "workshop-app", "healthPath": "/health", "maxConns": 110}},
		route{"order", "workshop-app", "non_idempotent", 1, 4 * time.Second, 300 * time.Millisecond},
		route{"order/status", "workshop-app", "idempotent", 2, 4 * time.Second, 300 * time.Millisecond})
	if err := d.startDaemons(encodedDaemons); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	c := newClients(d, rec, 4*time.Second)
	started := time.Now()
	lossFrom := started.Add(encodedBefore)
	lossTo := lossFrom.Add(encodedLossTime)
	if trouble {
		time.AfterFunc(time.Until(lossFrom), func() {
			rec.say("runners begin to lose answers")
			loses := func() bool { return rand.Float64() < lossRate }
			for _, r := range runners[:encodedLossCount] {
				r.losesAnswer.Store(&loses)
			}
		})
		time.AfterFunc(time.Until(lossTo), func() {
			for _, r := range runners {
				r.losesAnswer.Store(nil)
			}
			rec.say("runners are sound again")
		})
	}
	for n := 0; time.Now().Before(lossTo.Add(encodedAfter)); n++ {
		// The path begins with "/order/", and not with "/order/status/".
		c.send("POST", fmt.Sprintf("/order/status%%2F%d", n), n%encodedDaemons)
		time.Sleep(encodedInterval)
	}
	c.open.Wait()
	all := c.between(started, time.Now())
	twice := 0
	for _, a := range all {
		runs := 0
		for _, r := range runners {
			runs += r.runCount(a.id)
		}
		if runs > 1 {
			twice++
			rec.add("%s ran %d times", a.id, runs)
		}
	}
	rec.say("answers: %v", statuses(all))
	rec.say("%d of %d orders ran more than once", twice, len(all))
	return twice > 0, nil
}

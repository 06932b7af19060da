package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"time"
)

// Case "unframed": runners whose answers end with their connection lose answers for some
// seconds. Afterwards nothing is wrong any more, and the clients go on to ask the same.
const (
	unframedDaemons = 3
	unframedRunners = 9
	// lossCount is the number of runners that lose answers (a share of 0.6 at most), lossRate
	// the share of the answers that they lose, and lossTime how long that lasts.
	lossCount = 5
	lossRate  = 0.4
	lossTime  = 4 * time.Second
	// calmTime passes before, and afterTime after the losses.
	calmTime  = 6 * time.Second
	afterTime = 20 * time.Second
	// statusInterval is the time between two requests for the same status, and otherInterval
	// that between two other requests.
	statusInterval = 6 * time.Millisecond
	otherInterval  = 100 * time.Millisecond
)

func playUnframed(d *deployment, rec *record, trouble bool) (bool, error) {
	var runners []*plainRunner
	for i := range unframedRunners {
		r, err := startPlainRunner(fmt.Sprintf("i-%d", i+1), 6, 30*time.Millisecond, rec)
		if err != nil {
			return false, err
		}
		// FRAMED=1 gives all answers a length, for comparison.
		r.framed = os.Getenv("FRAMED") == "1"
		runners = append(runners, r)
		d.register(r.id, "workshop-app", r.address(), 6)
	}
	d.writeManifest([]map[string]any{{"name": "workshop-app", "healthPath": "/health", "maxConns": 110}},
		route{"lookup", "workshop-app", "idempotent", 2, 4 * time.Second, 300 * time.Millisecond})
	if err := d.startDaemons(unframedDaemons); err != nil {
		return false, err
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	c := newClients(d, rec, 4*time.Second)
	started := time.Now()
	lossFrom := started.Add(calmTime)
	lossTo := lossFrom.Add(lossTime)
	end := lossTo.Add(afterTime)
	time.AfterFunc(time.Until(lossFrom), func() {
		if !trouble {
			return
		}
		rec.say("runners begin to lose answers")
		loses := func() bool { return rand.Float64() < lossRate }
		for _, r := range runners[:lossCount] {
			r.losesAnswer.Store(&loses)
		}
	})
	time.AfterFunc(time.Until(lossTo), func() {
		for _, r := range runners {
			r.losesAnswer.Store(nil)
		}
		rec.say("runners are sound again")
	})
	status, other := time.NewTicker(statusInterval), time.NewTicker(otherInterval)
	for n := 0; time.Now().Before(end); n++ {
		select {
		case <-status.C:
			c.send("GET", "/lookup/queue", n%unframedDaemons)
		case <-other.C:
			c.send("GET", fmt.Sprintf("/lookup/job-%d", n), n%unframedDaemons)
		}
	}
	c.open.Wait()
	for _, line := range d.logLines("quarantined") {
		rec.say("%s", line)
	}
	rec.say("before the losses: %v", statuses(c.between(started, lossFrom)))
	rec.say("during the losses: %v", statuses(c.between(lossFrom, lossTo)))
	rec.say("after the losses: %v", statuses(c.between(lossTo, end)))
	all := c.between(started, end)
	refused := statuses(all)[422]
	allowed := 5 + len(all)/500
	rec.say("%d of %d proper requests were refused with 422; %d are allowed", refused, len(all), allowed)
	return refused > allowed, nil
}

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// revokeWithin is revokeMs of the settings.
	revokeWithin = 5 * time.Second
	// The client asks every gateway once in this interval, first while its key is valid and
	// then after it was taken away.
	askInterval = 100 * time.Millisecond
	// strangerKey is a key that no manifest ever holds. Each strangerEvery-th request has it.
	strangerKey   = "never-held"
	strangerEvery = 5
	validTime     = 4 * time.Second
	timeAfterTake = 12 * time.Second
)

// playRevoke takes the last tenant's keys away: the new manifest has an empty list of tenants.
// No request with the key may run that was sent later than revokeWithin after the ack.
func playRevoke(l *lab, trouble bool) (bool, error) {
	r, err := startRunner(l, "i-1", "llm", 3, 5*time.Millisecond, 0)
	if err != nil {
		return false, err
	}
	storeChatConfig(l, 1, chatTenants())
	if err := l.startGateways(gatewayCount); err != nil {
		return false, err
	}
	begin := time.Now()
	ackAt := begin.Add(validTime)
	var once sync.Once
	var group sync.WaitGroup
	var mu sync.Mutex
	type ask struct {
		*chat
		sentAt     time.Time
		isStranger bool
	}
	var asks []ask
	for n := 0; time.Since(begin) < validTime+timeAfterTake; n++ {
		if time.Since(begin) >= validTime {
			once.Do(func() {
				if trouble {
					revision := storeChatConfig(l, 2, []any{})
					l.record.say("manifest 2 without tenants is acknowledged, revision %d", revision)
				}
				ackAt = time.Now()
			})
		}
		for i, g := range l.gateways {
			id := fmt.Sprintf("k%06x%02x", n, i)
			sentAt := time.Now()
			bearer := key
			if n%strangerEvery == 0 {
				bearer = strangerKey
			}
			group.Go(func() {
				c := l.sendChatTo(id, g.address(frontPort), bearer)
				mu.Lock()
				defer mu.Unlock()
				asks = append(asks, ask{c, sentAt, bearer == strangerKey})
			})
		}
		time.Sleep(askInterval)
	}
	group.Wait()
	served, late, lateRun, strangerRun := 0, 0, 0, 0
	for _, a := range asks {
		run := r.run(a.id)
		age := a.sentAt.Sub(ackAt)
		switch {
		case a.isStranger:
			if run == nil {
				continue
			}
			if strangerRun++; strangerRun == 1 {
				l.record.say("ROUTE: %s with a key that no manifest ever held, sent to %s %.1f s after the ack, ran and was answered %d", a.id, a.gateway, age.Seconds(), a.status)
			}
		case age < 0 && run != nil:
			served++
		case age > revokeWithin && trouble:
			late++
			if run == nil {
				continue
			}
			if lateRun++; lateRun == 1 {
				l.record.say("CONFIG: %s was sent to %s %.1f s after the ack of the manifest that took its key away; it ran (X-Tenant %q) and was answered %d", a.id, a.gateway, age.Seconds(), run.tenant, a.status)
			}
		}
	}
	l.record.say("%d requests ran while the key was valid; %d were sent later than %v after it was taken away, of which %d ran; %d requests ran with a key that no manifest ever held", served, late, revokeWithin, lateRun, strangerRun)
	if served == 0 {
		return false, fmt.Errorf("no request ran while the key was valid")
	}
	return lateRun+strangerRun > 0, nil
}

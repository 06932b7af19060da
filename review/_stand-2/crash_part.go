package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// The figures of monogram-check and its service in khacdau-hoian.
	monogramPerSecond = 72.8
	monogramEvents    = 5
	monogramDeadline  = 3 * time.Second
	modelRunners      = 9
	// fatalPart is a part that some prompts share, never their last. A share of the requests
	// has it; the others have one of soundDocuments parts in its place.
	fatalPart      = "badc0de1"
	fatalPerSecond = 8.0
	soundDocuments = 60
	// The part is sound for soundTime and then ends each runner that begins to write an answer
	// on it, for fatalTime. A runner is back after downTime.
	soundTime = 6 * time.Second
	fatalTime = 20 * time.Second
	downTime  = 3 * time.Second
	// The rule: after the fifth crash and contactTime, at most tolerated such requests may
	// reach runners.
	contactTime = 3 * time.Second
	judgedCrash = 5
	tolerated   = 3
)

// playCrashPart lets a part of prompts that was sound begin to crash the runners that write
// answers on it. Without trouble, it stays sound.
func playCrashPart(l *lab, trouble bool) (bool, error) {
	var isFatal atomic.Bool
	var runners []*runner
	for i := range modelRunners {
		r, err := startRunner(l, fmt.Sprintf("i-%d", i+1), "llm", monogramEvents, chatInterval, 0)
		if err != nil {
			return false, err
		}
		r.downTime = downTime
		r.crashes = func(request *http.Request) bool {
			return isFatal.Load() && strings.Contains(request.Header.Get("X-Prompt-Prefix"), ","+fatalPart+":")
		}
		runners = append(runners, r)
	}
	storeRoute(l, 1, chatTenants(), monogramDeadline, 2, true)
	if err := l.startGateways(gatewayCount); err != nil {
		return false, err
	}
	begin := time.Now()
	time.AfterFunc(soundTime, func() {
		isFatal.Store(trouble)
		l.record.add("the part crashes runners from now on: %v", trouble)
	})
	var group sync.WaitGroup
	var answered atomic.Int64
	requests := 0
	for ; time.Since(begin) < soundTime+fatalTime; requests++ {
		time.Sleep(time.Duration(rand.ExpFloat64() / monogramPerSecond * float64(time.Second)))
		document := fmt.Sprintf("d0c%05x", rand.IntN(soundDocuments))
		if rand.Float64() < fatalPerSecond/monogramPerSecond {
			document = fatalPart
		}
		// All prompts share their first part, and the last is each request's own.
		parts := fmt.Sprintf("5c1e07a2:341,%s:227,%08x:1800", document, rand.Uint32())
		id := fmt.Sprintf("m%06x%08x", requests, rand.Uint32())
		g := l.gateways[rand.IntN(len(l.gateways))]
		group.Go(func() {
			if c := l.sendPrompt(id, g.address(frontPort), key, parts, monogramDeadline); c.status == http.StatusOK && c.ended == nil {
				answered.Add(1)
			}
		})
	}
	group.Wait()
	l.record.say("%d requests, %d answered", requests, answered.Load())
	return judgeFatal(l.record, runners), nil
}

// judgeFatal applies the rule BUDGET to the requests that end runners.
func judgeFatal(record *record, runners []*runner) bool {
	var crashes, arrivals []time.Time
	for _, r := range runners {
		r.mu.Lock()
		crashes, arrivals = append(crashes, r.crashedAt...), append(arrivals, r.fatalAt...)
		r.mu.Unlock()
	}
	if len(crashes) < judgedCrash {
		record.say("%d crashes", len(crashes))
		return false
	}
	slices.SortFunc(crashes, time.Time.Compare)
	fifth := crashes[judgedCrash-1]
	late := 0
	for _, at := range arrivals {
		if at.Sub(fifth) > contactTime {
			late++
		}
	}
	record.say("BUDGET: %d requests with the part reached runners later than %v after the fifth crash (%d are tolerated); %d runners crashed in all, the last %.1f s after the fifth", late, contactTime, tolerated, len(crashes), crashes[len(crashes)-1].Sub(fifth).Seconds())
	return late > tolerated
}

package policytest

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// The classes of docs/uneven-demand.md, deployment B.
var (
	shortPromptClass  = &class{name: "chat", length: "short", priority: 9, firstTokenTarget: 500 * time.Millisecond, pauseTarget: 400 * time.Millisecond, eventTokens: eventTokens, deadline: 30 * time.Second}
	middlePromptClass = &class{name: "middle", length: "middle", priority: 8, firstTokenTarget: 600 * time.Millisecond, pauseTarget: 400 * time.Millisecond, eventTokens: eventTokens, deadline: 30 * time.Second}
	longPromptClass   = &class{name: "long", length: "long", priority: 7, firstTokenTarget: 1500 * time.Millisecond, pauseTarget: 400 * time.Millisecond, eventTokens: eventTokens, deadline: 30 * time.Second}
)

const (
	// eventTokens is the number of tokens of an event. The description gives events only;
	// with 8, an event takes 45 ms while no prompt is processed.
	eventTokens         = 8
	promptWorkloadTime  = 30 * time.Second
	promptWorkloadBurst = 10 * time.Second
	// sharedLongTokens is the length of the shared part of long prompts, longTexts the
	// number of such parts.
	sharedLongTokens = 6300
	longTexts        = 24
)

// promptMix is the share of long and of middle prompts at a time; the others are short.
type promptMix func(at time.Duration) (long, middle float64)

// PromptWorkloads returns the workloads with prompts of different length.
func PromptWorkloads() []Workload {
	few := func(time.Duration) (float64, float64) { return 0.05, 0.15 }
	shift := func(at time.Duration) (float64, float64) {
		if at >= promptWorkloadBurst && at < 2*promptWorkloadBurst {
			return 0.6, 0.25
		}
		return 0.05, 0.15
	}
	all := func(time.Duration) (float64, float64) { return 1, 0 }
	return []Workload{
		promptWorkload("5% long", promptFleet(24, time.Second), 4.6, longTexts, few),
		promptWorkload("5% long, state 0.1 s old", promptFleet(24, 100*time.Millisecond), 4.6, longTexts, few),
		promptWorkload("5% long, state 5 s old", promptFleet(24, 5*time.Second), 4.6, longTexts, few),
		promptWorkload("shift to long and back", promptFleet(24, time.Second), 4, longTexts, shift),
		promptWorkload("all long", promptFleet(24, time.Second), 3, longTexts, all),
		promptWorkload("one hot shared part", promptFleet(24, time.Second), 4.6, 1, func(time.Duration) (float64, float64) { return 0.2, 0.15 }),
		promptWorkload("two upstreams", promptFleet(2, time.Second), 4.2, longTexts, func(time.Duration) (float64, float64) { return 0.2, 0.15 }),
	}
}

// promptFleet returns a fleet whose daemons know load reports that are up to age old.
func promptFleet(engines int, age time.Duration) *fleetModel {
	return &fleetModel{daemons: min(6, engines), engines: engines, reportInterval: age * 4 / 5, reportLag: age / 5, engine: unevenEngine, hasOnePrice: true, reportsSlots: true}
}

// promptWorkload returns a workload of perEngine requests per second and engine.
func promptWorkload(name string, fleet *fleetModel, perEngine float64, texts int, mix promptMix) Workload {
	rate := perEngine * float64(fleet.engines)
	generate := func(random *rand.Rand, factor float64) []*request {
		constant := func(time.Duration) float64 { return rate * factor }
		return poissonArrivals(random, promptWorkloadTime, constant, func(r *request) { fillPrompt(r, random, texts, mix) })
	}
	return Workload{Name: name, Length: promptWorkloadTime, fleet: fleet, generate: generate}
}

// fillPrompt draws the class and the prompt of a request.
func fillPrompt(r *request, random *rand.Rand, texts int, mix promptMix) {
	r.workspace = fmt.Sprintf("w%d", random.IntN(8))
	long, middle := mix(r.arrivedAt)
	unique := uint64(r.id) + 1<<32
	switch draw := random.Float64(); {
	case draw < long:
		// Texts with low numbers are requested more often. A tenth of the prompts is far
		// longer than the others, up to 39,600 tokens.
		text := min(random.IntN(texts), random.IntN(texts))
		own := 1000 + random.IntN(2500)
		if random.Float64() < 0.1 {
			own = 8000 + random.IntN(25300)
		}
		r.class, r.answerTokens, r.promptTokens = longPromptClass, 10*eventTokens, sharedLongTokens+own
		r.blocks = blockHashes(uint64(text)+5000, sharedLongTokens, unique, r.promptTokens)
	case draw < long+middle:
		r.class, r.answerTokens, r.promptTokens = middlePromptClass, 5*eventTokens, 568+1000+random.IntN(1600)
		r.blocks = blockHashes(uint64(random.IntN(8))+6000, 568, unique, r.promptTokens)
	default:
		r.class, r.answerTokens, r.promptTokens = shortPromptClass, 56*eventTokens, 172+300+random.IntN(486)
		r.blocks = blockHashes(uint64(random.IntN(8))+7000, 172, unique, r.promptTokens)
	}
}

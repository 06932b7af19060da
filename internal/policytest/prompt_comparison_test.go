package policytest

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an engine model in which a long prompt delays neither the running jobs nor
// the short prompts behind it: the model would then show no difference between policies.
func TestLongPromptDelaysOthers(t *testing.T) {
	run := func(longTokens int) (running, behind *request) {
		events := eventQueue{}
		e := &engine{events: &events, model: &unevenEngine, cache: newPrefixCache(unevenEngine.cacheTokens / blockTokens)}
		submit := func(class *class, at time.Duration, prompt, answer int) *request {
			r := &request{class: class, arrivedAt: at, promptTokens: prompt, answerTokens: answer}
			events.scheduleAt(at, func() { e.submit(&job{request: r, promptTokens: prompt, onDone: func(*job) {}, onLost: func(*job) {}}) })
			return r
		}
		running = submit(shortPromptClass, 0, 500, 400)
		if longTokens > 0 {
			submit(longPromptClass, 300*time.Millisecond, longTokens, 10)
		}
		behind = submit(shortPromptClass, 310*time.Millisecond, 500, 10)
		events.run(time.Minute)
		return running, behind
	}
	running, behind := run(0)
	assert.Equal(t, running.pauses, 0)
	assert.Assert(t, running.worstPause < 100*time.Millisecond, "%v", running.worstPause)
	assert.Assert(t, behind.firstTokenAt-behind.arrivedAt < 50*time.Millisecond)
	running, behind = run(39_600)
	assert.Assert(t, running.pauses > 0, "worst pause %v", running.worstPause)
	delay := behind.firstTokenAt - behind.arrivedAt
	assert.Assert(t, delay > 900*time.Millisecond && delay < 1300*time.Millisecond, "%v", delay)
}

// promptTotals holds the sums of the results of a policy on one workload over the seeds.
type promptTotals struct {
	all        float64
	lengths    [len(promptLengths)]LengthResult
	recomputed int
}

// runPromptWorkload runs the policies on a workload with several seeds, logs the tables and
// returns the totals by policy. Shares within target are means.
func runPromptWorkload(t testing.TB, policies []NamedPolicy, w Workload, seeds int) []promptTotals {
	t.Helper()
	totals := make([]promptTotals, len(policies))
	for seed := range seeds {
		results := runPolicies(policies, w, 1, firstSeed+uint64(seed))
		var out strings.Builder
		WritePromptTable(&out, w, firstSeed+uint64(seed), policies, results)
		t.Logf("%s", out.String())
		for i, r := range results {
			totals[i].all += r.WithinTarget / float64(seeds)
			totals[i].recomputed += r.Recomputed
			for j, g := range r.Lengths {
				totals[i].lengths[j].Requests += g.Requests
				totals[i].lengths[j].WithinTarget += g.WithinTarget / float64(seeds)
				totals[i].lengths[j].Pauses += g.Pauses
				totals[i].lengths[j].Refused += g.Refused
			}
		}
	}
	return totals
}

func (p *promptTotals) pauses() int {
	n := 0
	for _, g := range p.lengths {
		n += g.Pauses
	}
	return n
}

// Guards against a term after which the classes beside long prompts are served worse than
// without it, after which the long prompts pay for that more than they may, or which has an
// effect where all prompts are long. Run with -v for the tables.
func TestPromptDelayHelps(t *testing.T) {
	const short, long = 0, 2
	for _, w := range PromptWorkloads() {
		t.Run(w.Name, func(t *testing.T) {
			t.Parallel()
			totals := runPromptWorkload(t, promptPolicies(), w, 2)
			without, with := &totals[0], &totals[1]
			// The workloads must cause delays, but not be hopeless.
			assert.Assert(t, without.pauses() > 0)
			assert.Assert(t, without.all > 0.5 && without.all < 1)
			for j, name := range promptLengths {
				t.Logf("%s: within %.3f, with the term %.3f; pauses %d, %d", name, without.lengths[j].WithinTarget, with.lengths[j].WithinTarget,
					without.lengths[j].Pauses, with.lengths[j].Pauses)
			}
			t.Logf("all: within %.3f, with the term %.3f; prefilled again %d, %d", without.all, with.all, without.recomputed, with.recomputed)
			switch w.Name {
			case "all long":
				assert.Equal(t, *with, *without)
			case "5% long, state 5 s old":
				// The term is nearly off.
				assert.Assert(t, with.all > without.all-0.015)
				assert.Assert(t, with.pauses() < without.pauses()*6/5)
			default:
				assert.Assert(t, with.all > without.all)
				assert.Assert(t, with.lengths[short].WithinTarget > without.lengths[short].WithinTarget)
				assert.Assert(t, with.lengths[long].WithinTarget > without.lengths[long].WithinTarget-0.1)
				assert.Assert(t, with.pauses() < without.pauses())
				assert.Assert(t, with.recomputed < without.recomputed*3/2)
			}
		})
	}
}

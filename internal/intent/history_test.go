package intent

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"rattantide/internal/standin/objectapi"
)

// call is an operation of the history: a Begin, or a Finish when finish is set.
type call struct {
	key, nonce string
	finish     Ran
}

type callResult struct {
	grant  Grant
	failed bool
}

// keyState is the model of one key.
type keyState struct {
	open string
	ran  Ran
	by   string
}

// atMostOnce says that a key is granted only when nothing is open under it and
// nothing but "not run" is recorded, and that a recorded outcome is the one that
// was handed in.
var atMostOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			byKey[op.Input.(call).key] = append(byKey[op.Input.(call).key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(keyState), input.(call)
		if in.finish != "" {
			return s.open == in.nonce, keyState{ran: in.finish, by: in.nonce}
		}
		out := output.(callResult)
		switch {
		case out.failed, !out.grant.Granted && out.grant.Outcome.Ran != RanDone:
			return true, s
		case out.grant.Granted:
			return s.open == "" && (s.ran == "" || s.ran == RanNotRun), keyState{open: in.nonce}
		}
		return s.open == "" && s.ran == RanDone && s.by == string(out.grant.Outcome.Body), s
	},
}

// step is one action of a random run.
type step struct {
	log, key, fault int
	ran             Ran
	patience, takes time.Duration
	before          time.Duration
}

func drawSteps(rt *rapid.T) []step {
	ms := func(name string, limit int) time.Duration {
		return time.Duration(rapid.IntRange(0, limit).Draw(rt, name)) * time.Millisecond
	}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			log: rapid.IntRange(0, 2).Draw(rt, "log"), key: rapid.IntRange(0, 3).Draw(rt, "key"),
			fault:    rapid.IntRange(-12, 11).Draw(rt, "fault"),
			ran:      rapid.SampledFrom([]Ran{RanDone, RanNotRun}).Draw(rt, "ran"),
			patience: 50*time.Millisecond + ms("patience", 8000), takes: ms("takes", 3000), before: ms("before", 1500),
		}
	}), 5, 40).Draw(rt, "steps")
}

// Guards against a call that runs twice, or an outcome that is not the one
// handed in, when several daemons write the same shards under faults of the
// object API and of the calls between them. It also guards against a key that
// stays blocked once the faults are over.
func TestHistoryIsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		overHTTP := rapid.Bool().Draw(rt, "over HTTP")
		// A failure inside of the bubble must not unwind through it.
		failure := ""
		synctest.Test(t, func(t *testing.T) {
			var api *objectapi.API
			if overHTTP {
				api = objectapi.New(objectapi.Config{})
			}
			f := newFleet(t, 3, 2, api)
			for i, s := range steps {
				time.Sleep(s.before)
				if s.fault >= 0 {
					f.fault(s.fault, s.log)
					continue
				}
				f.running.Go(func() {
					f.request(f.logs[s.log], fmt.Sprint("k", s.key), fmt.Sprint("n", i), s.patience, s.takes, s.ran)
				})
			}
			time.Sleep(5 * time.Second)
			f.heal()
			f.running.Wait()
			time.Sleep(time.Minute)
			for k := range 4 {
				out := f.request(f.logs[k%3], fmt.Sprint("k", k), fmt.Sprint("last", k), 20*time.Second, 0, RanDone)
				if out.failed || !out.grant.Granted && out.grant.Outcome.Ran != RanDone {
					failure = fmt.Sprintf("key %d is blocked after the faults: %+v", k, out)
				}
			}
			if !porcupine.CheckOperations(atMostOnce, f.history) {
				failure = "the history is not at most once"
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

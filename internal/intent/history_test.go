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

// historyCall is an operation of the history: a Begin, or a Finish when finish
// is set.
type historyCall struct {
	key, nonce string
	finish     Execution
}

type callResult struct {
	grant  Grant
	failed bool
}

// keyState is the model state of one key.
type keyState struct {
	openNonce    string
	execution    Execution
	outcomeNonce string
}

// atMostOnce is a model in which a key is granted only when it has no open
// dispatch and no recorded outcome other than "not run", and in which a
// returned outcome is the one that was passed to Finish.
var atMostOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			byKey[op.Input.(historyCall).key] = append(byKey[op.Input.(historyCall).key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(keyState), input.(historyCall)
		if in.finish != "" {
			return s.openNonce == in.nonce, keyState{execution: in.finish, outcomeNonce: in.nonce}
		}
		out := output.(callResult)
		switch {
		case out.failed, !out.grant.Granted && out.grant.Outcome.Execution != ExecutionDone:
			return true, s
		case out.grant.Granted:
			return s.openNonce == "" && (s.execution == "" || s.execution == ExecutionNotRun), keyState{openNonce: in.nonce}
		}
		return s.openNonce == "" && s.execution == ExecutionDone && s.outcomeNonce == string(out.grant.Outcome.Body), s
	},
}

// step is one action of a random run: a fault, or a call when fault is
// negative.
type step struct {
	log, key, fault        int
	execution              Execution
	callerTimeout, runTime time.Duration
	pauseBefore            time.Duration
}

func drawSteps(rt *rapid.T) []step {
	ms := func(name string, limit int) time.Duration {
		return time.Duration(rapid.IntRange(0, limit).Draw(rt, name)) * time.Millisecond
	}
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			log: rapid.IntRange(0, 2).Draw(rt, "log"), key: rapid.IntRange(0, 3).Draw(rt, "key"),
			fault:         rapid.IntRange(-12, 11).Draw(rt, "fault"),
			execution:     rapid.SampledFrom([]Execution{ExecutionDone, ExecutionNotRun}).Draw(rt, "ran"),
			callerTimeout: 50*time.Millisecond + ms("patience", 8000), runTime: ms("takes", 3000), pauseBefore: ms("before", 1500),
		}
	}), 5, 40).Draw(rt, "steps")
}

// TestHistoryIsAtMostOnce guards against a call that runs twice, and against
// an outcome that differs from the one passed to Finish, when several
// daemons write the same shards during faults of the object API and of the
// network between the daemons. It also guards against a key that stays
// blocked after the faults are cleared.
func TestHistoryIsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		overHTTP := rapid.Bool().Draw(rt, "over HTTP")
		// A test failure inside the bubble must not unwind through it.
		failure := ""
		synctest.Test(t, func(t *testing.T) {
			var api *objectapi.API
			if overHTTP {
				api = objectapi.New(objectapi.Config{})
			}
			f := newFleet(t, 3, 2, api)
			for i, s := range steps {
				time.Sleep(s.pauseBefore)
				if s.fault >= 0 {
					f.injectFault(s.fault, s.log)
					continue
				}
				f.running.Go(func() {
					f.beginAndFinish(f.logs[s.log], fmt.Sprint("k", s.key), fmt.Sprint("n", i), s.callerTimeout, s.runTime, s.execution)
				})
			}
			time.Sleep(5 * time.Second)
			f.clearFaults()
			f.running.Wait()
			time.Sleep(time.Minute)
			for k := range 4 {
				out := f.beginAndFinish(f.logs[k%3], fmt.Sprint("k", k), fmt.Sprint("last", k), 20*time.Second, 0, ExecutionDone)
				if out.failed || !out.grant.Granted && out.grant.Outcome.Execution != ExecutionDone {
					failure = fmt.Sprintf("key %d is blocked after the faults: %+v", k, out)
				}
			}
			if !porcupine.CheckOperations(atMostOnce, f.history) {
				failure = "the history violates at-most-once execution"
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

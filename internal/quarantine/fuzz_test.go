//go:build fuzz

package quarantine

import (
	"encoding/json"
	"testing"
	"time"
)

// FuzzMerge guards against evidence of another daemon that ends the process, exceeds the
// bounds of the memory, or makes a Tracker tell what it would not accept itself.
func FuzzMerge(f *testing.F) {
	for _, e := range []Evidence{
		{Losses: []LossRecord{{Upstream: "u", AgeMs: 5, Parts: []uint64{1, 2}}}, Begun: []BegunRecord{{Part: 2, AgeMs: 3}}},
		{Verdicts: []VerdictRecord{{Part: 1, Term: 1, Losses: 5, LossAgeMs: 9, RequestAgeMs: 2}}},
		{Verdicts: []VerdictRecord{{Part: 1, Losses: 1 << 40, LossAgeMs: -1, RequestAgeMs: 1 << 62}}},
	} {
		text, err := json.Marshal(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var e Evidence
		if json.Unmarshal(data, &e) != nil {
			return
		}
		c := &clock{now: time.Unix(1000, 0)}
		tracker := c.newTracker(true)
		for range 3 {
			tracker.Merge(&e, c.now)
			tracker.Check([]uint64{1, 2, 3}, false)
			tracker.Start("u", []uint64{1, 2}, func() {}).RecordLost()
			c.advance(time.Second)
			tracker.Tick()
		}
		told := tracker.Evidence()
		if len(tracker.losses) > maxLosses || len(tracker.verdicts) > maxVerdicts || len(told.Begun) > maxSentBegun {
			t.Errorf("bounds exceeded: %d losses, %d verdicts, %d begun", len(tracker.losses), len(tracker.verdicts), len(told.Begun))
		}
		for _, r := range told.Verdicts {
			if r.Losses < PromptParts.SuspendLosses || r.LossAgeMs < 0 || r.RequestAgeMs < 0 {
				t.Errorf("told an invalid verdict: %+v", r)
			}
		}
	})
}

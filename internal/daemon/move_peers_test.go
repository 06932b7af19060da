package daemon

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/api"
	"rattantide/internal/configsync"
	"rattantide/internal/dispatch"
	"rattantide/internal/membership"
	"rattantide/internal/rollout"
)

func newTestMovePeers(daemons int) *movePeers {
	table := membership.NewTable(membership.Daemon{Name: "self"}, membership.Options{})
	list := membership.InstanceList{Revision: 1}
	for i := range daemons {
		name := fmt.Sprintf("d%03d", i)
		list.Instances = append(list.Instances, membership.Instance{Name: name, Role: membership.RoleDaemon, State: membership.StateLive})
	}
	table.ApplyList(list)
	return newMovePeers(table, nil, nil)
}

// Guards against daemons of a large fleet that are never asked for evidence or
// are all asked at once, and against a small fleet that is not asked
// completely.
func TestAllDaemonsAreAskedInTurn(t *testing.T) {
	for _, daemons := range []int{8, maxAskedPerSlot, 17, 380} {
		asked := map[string]bool{}
		p := newTestMovePeers(daemons)
		for slot := range int64((daemons + maxAskedPerSlot - 1) / maxAskedPerSlot) {
			selected := p.daemonsToAsk("m", slot)
			assert.Equal(t, len(selected), min(daemons, maxAskedPerSlot))
			for _, d := range selected {
				asked[d.Name] = true
			}
		}
		assert.Equal(t, len(asked), daemons)
	}
}

// BenchmarkCollect measures the size of the response bodies of one collection
// in a fleet of 380 daemons, for two full slots of 84 requests per second at
// each daemon.
func BenchmarkCollect(b *testing.B) {
	for _, deadline := range []time.Duration{time.Minute, 10 * time.Minute, time.Hour} {
		b.Run(deadline.String(), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			guard := rollout.NewGuard(rollout.GuardOptions{StoreNow: func() (time.Time, bool) { return now, true }})
			status := &api.MoveStatus{DeclaredMs: now.UnixMilli(), DeadlineMs: now.Add(deadline).UnixMilli()}
			spec := &api.VersionMove{From: "v1", To: "v2", Deadline: api.Duration(deadline)}
			move := &configsync.Move{Name: "m", Spec: spec, Status: status}
			random := rand.New(rand.NewPCG(1, 1))
			slot := deadline.Seconds() / 64
			for range int(2 * slot * 84) {
				now = now.Add(time.Second / 84)
				guard.Observe(dispatch.MoveSample{
					Move: move, Version: []string{"v1", "v2"}[random.IntN(20)/19], Route: fmt.Sprint(random.IntN(2)),
					Load: 32 * random.Float64(), UncachedTokens: 200 << random.IntN(5),
					Latency: time.Duration(100+400*random.ExpFloat64()) * time.Millisecond,
					Gap:     time.Duration(30+10*random.Float64()) * time.Millisecond, StartedAt: now, EndedAt: now,
				})
			}
			for b.Loop() {
				body, err := json.Marshal(guard.Report("m", status.DeclaredMs, 0))
				assert.NilError(b, err)
				b.ReportMetric(float64(len(body)*len(newTestMovePeers(380).daemonsToAsk("m", 1)))/slot, "bytes/s")
				b.ReportMetric(float64(len(body)*380)/slot, "bytes/s-of-all")
			}
		})
	}
}

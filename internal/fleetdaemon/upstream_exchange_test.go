package fleetdaemon

import (
	"testing"

	"gotest.tools/v3/assert"

	"rattantide/internal/bootclock"
	"rattantide/internal/membership"
	"rattantide/internal/peering"
	"rattantide/internal/upstreamstate"
)

// Guards against state of upstreams that stays with the daemon that observed it, and against a
// faulty message that has an effect.
func TestDaemonsExchangeUpstreamStates(t *testing.T) {
	s := startDeployment(t, 4)
	for i := range s.daemons {
		s.waitFor("all daemons", func() bool { return s.isReady(i) && len(s.daemons[i].peers.Peers()) == 3 })
	}
	observer := s.daemons[3]
	s.waitFor("the upstream", func() bool { return len(observer.table.Upstreams("app")) == 1 })
	u := observer.table.Upstreams("app")[0]
	load := membership.Load{Running: 5, Waiting: 2, Slots: 8, Pace: 2}
	for i := range s.daemons {
		s.waitFor("the state of the upstream", func() bool {
			loadRecorder{observer}.RecordLoad(u, load)
			upstreams := s.daemons[i].table.Upstreams("app")
			if len(upstreams) == 0 || upstreams[0].Load == nil {
				return false
			}
			got := upstreams[0].Load
			return got.Running == 5 && got.Waiting == 2 && got.Slots == 8 && got.Pace == 2
		})
	}
	observer.handleUpstreamState(peering.Sender{Name: "x"}, []byte{0x11, 1, 2, 3})
	observer.handleUpstreamState(peering.Sender{Name: "x"}, []byte("{}"))
	loadRecorder{observer}.RecordLoad(membership.Upstream{Name: u.Name, Address: "127.0.0.1:9", Generation: u.Generation}, membership.Load{Running: 9, Slots: 8, Pace: 3})
	assert.Equal(t, observer.table.Upstreams("app")[0].Load.Running, 5, "the answer is that of another process")
	updates := observer.upstreamStore.Updates(bootclock.Now(), []upstreamstate.Update{})
	assert.Equal(t, len(updates), 1)
}

package upstreampath

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"rattantide/internal/telemetry"
)

// newTestMonitor returns a running Monitor of a pool. Probes succeed while isReached is set.
func newTestMonitor(t *testing.T, upstreams int, isReached *atomic.Bool, probes *atomic.Int64) *Monitor {
	m := New(Options{
		Probe: func(_ context.Context, _ string) error {
			probes.Add(1)
			if !isReached.Load() {
				<-time.After(250 * time.Millisecond)
				return errors.New("timeout")
			}
			return nil
		},
		OnChange: func(string, bool) {}, Now: time.Now, Logger: telemetry.Discard(), Scope: tally.NoopScope,
	})
	var list []Upstream
	for i := range upstreams {
		list = append(list, Upstream{Pool: "p", Address: fmt.Sprint("u", i)})
	}
	m.SetUpstreams(list)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return m
}

// Guards against a daemon that takes silent upstreams for a lost path although it reaches
// them, and against one that notices a lost path, or that it is back, late.
func TestSilenceIsProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var isReached atomic.Bool
		var probes atomic.Int64
		isReached.Store(true)
		m := newTestMonitor(t, 4, &isReached, &probes)
		abandoned := 0
		call := m.Start("u0", func() { abandoned++ })
		time.Sleep(1200 * time.Millisecond)
		assert.Assert(t, !m.IsLost("p"))
		assert.Assert(t, probes.Load() <= 3, "%d probes", probes.Load())
		isReached.Store(false)
		call.Heard()
		time.Sleep(1300 * time.Millisecond)
		assert.Assert(t, m.IsLost("p"))
		assert.Equal(t, abandoned, 1)
		_, lacksAll := m.Lost()
		assert.Assert(t, lacksAll)
		call.End()
		isReached.Store(true)
		lostUntil := time.Now()
		time.Sleep(700 * time.Millisecond)
		assert.Assert(t, !m.IsLost("p"))
		assert.Assert(t, m.WasLostSince("p", lostUntil.Add(-time.Second)))
		assert.Assert(t, !m.WasLostSince("p", time.Now()))
	})
}

// Guards against a path that counts as lost because some upstreams are down, and against one
// that does not although all upstreams of a small pool, or three of a larger one, fail.
func TestFailuresUntilPathIsLost(t *testing.T) {
	for upstreams, want := range map[int]int{1: 1, 2: 2, 3: 3, 9: 3} {
		m := New(Options{OnChange: func(string, bool) {}, Now: time.Now, Logger: telemetry.Discard(), Scope: tally.NoopScope})
		var list []Upstream
		for i := range upstreams {
			list = append(list, Upstream{Pool: "p", Address: fmt.Sprint("u", i)})
		}
		m.SetUpstreams(list)
		for i := range want {
			assert.Assert(t, !m.IsLost("p"), "%d of %d", i, upstreams)
			m.RecordConnect("u0", errors.New("refused"))
			assert.Assert(t, i == 0 || !m.IsLost("p"), "one upstream counts once")
			m.RecordConnect(fmt.Sprint("u", i), errors.New("refused"))
		}
		assert.Assert(t, m.IsLost("p"), "%d upstreams", upstreams)
		m.RecordConnect("u0", nil)
		assert.Assert(t, !m.IsLost("p"))
	}
}

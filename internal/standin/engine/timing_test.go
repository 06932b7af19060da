package engine_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rattantide/internal/engineclient"
	"rattantide/internal/relay"
	"rattantide/internal/standin/engine"
	"rattantide/internal/standin/memnet"
)

const address = "engine:80"

// bubble runs test with an engine in a synctest bubble, in which time passes
// only while everything waits.
func bubble(t *testing.T, config engine.Config, test func(ctx context.Context, e *engine.Engine, c *engineclient.Client)) {
	synctest.Test(t, func(t *testing.T) {
		e, network := engine.New(config), memnet.New()
		stop := network.Serve(address, e)
		client := engineclient.New(network.Client())
		test(t.Context(), e, client)
		client.CloseIdle()
		e.Close()
		stop()
	})
}

func open(t *testing.T, ctx context.Context, c *engineclient.Client, id string, tokens, priority int) *engineclient.Stream {
	t.Helper()
	s, err := c.Stream(ctx, engineclient.StreamRequest{
		Address: address, RequestID: id, Attempt: 1, Priority: priority, Body: body(t, tokens, "", 0),
	})
	assert.NilError(t, err)
	return s
}

// Guards against a batch that costs as much as one generation, which would
// hide overload.
func TestTokenTimeGrowsWithTheBatch(t *testing.T) {
	config := engine.Config{TokenTime: 10 * time.Millisecond, TokenGrowth: 0.5, Slots: 4}
	took := func(parallel int) time.Duration {
		var duration time.Duration
		bubble(t, config, func(ctx context.Context, _ *engine.Engine, c *engineclient.Client) {
			begin := time.Now()
			var streams []*engineclient.Stream
			for i := range parallel {
				streams = append(streams, open(t, ctx, c, fmt.Sprint("r", i), 20, 0))
			}
			for _, s := range streams {
				text, _, _ := read(s, 100)
				assert.Equal(t, text, engine.Answer(engine.AnswerKey(messages, 7, "v1"), 20))
				assert.NilError(t, s.Close())
			}
			duration = time.Since(begin)
		})
		return duration
	}
	one, three, eight := took(1), took(3), took(8)
	assert.Assert(t, three > one*18/10 && three < one*22/10, "%v %v", one, three)
	assert.Assert(t, eight > 4*one, "8 generations in 4 slots run in two rounds of 2.5: %v %v", one, eight)
}

// Guards against a queue that ignores priorities.
func TestPriorityGoesFirst(t *testing.T) {
	bubble(t, engine.Config{TokenTime: time.Millisecond, Slots: 1}, func(ctx context.Context, e *engine.Engine, c *engineclient.Client) {
		var streams []*engineclient.Stream
		for i, priority := range []int{5, 0, 9} {
			streams = append(streams, open(t, ctx, c, fmt.Sprint("r", i), 10, priority))
		}
		for _, s := range streams {
			_, _, _ = read(s, 100)
			assert.NilError(t, s.Close())
		}
		var finished []string
		for _, entry := range e.Log().Entries(0) {
			if entry.Event == "finish" {
				finished = append(finished, entry.RequestID)
			}
		}
		assert.DeepEqual(t, finished, []string{"r0", "r2", "r1"})
	})
}

// Guards against generations that outlive their grace time and hold a slot,
// and against ones that end before it.
func TestGraceTime(t *testing.T) {
	config := engine.Config{TokenTime: 100 * time.Millisecond, Grace: 3 * time.Second}
	bubble(t, config, func(ctx context.Context, e *engine.Engine, c *engineclient.Client) {
		s := open(t, ctx, c, "r1", 1000, 0)
		_, last, err := read(s, 2)
		assert.NilError(t, err)
		assert.NilError(t, s.Close())
		resume := engineclient.StreamRequest{Address: address, RequestID: "r1", Attempt: 2, Body: body(t, 1000, "", 0), AfterEvent: last}
		time.Sleep(2 * time.Second)
		s, err = c.Stream(ctx, resume)
		assert.NilError(t, err)
		_, next, err := read(s, 15)
		assert.NilError(t, err)
		assert.Equal(t, next, last+15, "the generation went on without a connection")
		assert.NilError(t, s.Close())
		time.Sleep(4 * time.Second)
		_, err = c.Stream(ctx, resume)
		assert.Assert(t, errors.Is(err, engineclient.ErrUnknownRequest), err)
		load, err := c.Load(ctx, address)
		assert.NilError(t, err)
		assert.Equal(t, load.Running, 0)
	})
}

// Guards against reports that are fresher than a real engine's.
func TestLags(t *testing.T) {
	config := engine.Config{TokenTime: 10 * time.Millisecond, LoadLag: time.Second, CacheEventLag: time.Second}
	bubble(t, config, func(ctx context.Context, e *engine.Engine, c *engineclient.Client) {
		time.Sleep(2 * time.Second)
		m := messages[0].Content
		defer func() { messages[0].Content = m }()
		messages[0].Content = fmt.Sprintf("%0200d", 1)
		s := open(t, ctx, c, "r1", 1000, 0)
		defer func() { _ = s.Close() }()
		running := func() (int, int) {
			load, err := c.Load(ctx, address)
			assert.NilError(t, err)
			events, err := c.CacheEvents(ctx, address, 0)
			assert.NilError(t, err)
			return load.Running, len(events.Events)
		}
		time.Sleep(500 * time.Millisecond)
		load, events := running()
		assert.Equal(t, load, 0)
		assert.Equal(t, events, 0)
		time.Sleep(time.Second)
		load, events = running()
		assert.Equal(t, load, 1)
		assert.Equal(t, events, 3)
	})
}

// Guards against a fault that hits more than the route or load it is limited to.
func TestLimitedFaults(t *testing.T) {
	config := engine.Config{TokenTime: 10 * time.Millisecond}
	bubble(t, config, func(ctx context.Context, e *engine.Engine, c *engineclient.Client) {
		took := func(id string) time.Duration {
			begin := time.Now()
			s := open(t, ctx, c, id, 20, 0)
			_, _, _ = read(s, 100)
			assert.NilError(t, s.Close())
			return time.Since(begin)
		}
		normal := took("a")
		e.Faults().Update(func(f *engine.Faults) { f.SlowFactor, f.OnlyModel = 4, "other" })
		assert.Equal(t, took("b"), normal)
		e.Faults().Update(func(f *engine.Faults) { f.OnlyModel, f.AboveLoad = "draft", 2 })
		assert.Equal(t, took("c"), normal)
		e.Faults().Update(func(f *engine.Faults) { f.AboveLoad = 0 })
		assert.Assert(t, took("d") > 3*normal)
	})
}

// Guards against a resumption that takes an idle connection which has become
// silent together with the one that it replaces.
func TestResumptionAvoidsSilentIdleConnections(t *testing.T) {
	bubble(t, engine.Config{TokenTime: 10 * time.Millisecond}, func(ctx context.Context, e *engine.Engine, c *engineclient.Client) {
		first, second := open(t, ctx, c, "a", 10, 0), open(t, ctx, c, "b", 20, 0)
		for _, s := range []*engineclient.Stream{first, second} {
			_, _, _ = read(s, 100)
			assert.NilError(t, s.Close())
		}
		// One idle connection carries the stream, the other stays idle.
		silent := errors.New("silent")
		deadline, cancel := context.WithCancelCause(ctx)
		watchdog := time.AfterFunc(2*time.Second, func() { cancel(silent) })
		s, err := c.Stream(deadline, engineclient.StreamRequest{Address: address, RequestID: "c", Attempt: 1, Body: body(t, 1000, "", 0)})
		assert.NilError(t, err)
		_, last, err := read(s, 5)
		assert.NilError(t, err)
		e.Faults().Update(func(f *engine.Faults) { f.SilentConnections = true })
		for err == nil {
			// Events that were sent before the fault may still arrive.
			var event relay.Event
			if event, err = s.Next(); err == nil {
				last = event.ID
			}
		}
		assert.Assert(t, deadline.Err() != nil, err)
		assert.NilError(t, s.Close())
		watchdog.Stop()
		begin := time.Now()
		s, err = c.Stream(ctx, engineclient.StreamRequest{Address: address, RequestID: "c", Attempt: 2, Body: body(t, 1000, "", 0), AfterEvent: last})
		assert.NilError(t, err)
		_, next, err := read(s, 1)
		assert.NilError(t, err)
		assert.Equal(t, next, last+1)
		assert.Assert(t, time.Since(begin) < time.Second)
		assert.NilError(t, s.Close())
		assert.NilError(t, c.Cancel(ctx, address, "c"))
	})
}

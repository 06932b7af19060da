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

const engineAddress = "engine:80"

// runInBubble runs test with an engine in a synctest bubble, in which time
// advances only while every goroutine is blocked.
func runInBubble(t *testing.T, config engine.Config, test func(ctx context.Context, e *engine.Engine, c *engineclient.Client)) {
	synctest.Test(t, func(t *testing.T) {
		e, network := engine.New(config), memnet.New()
		stop := network.Serve(engineAddress, e)
		client := engineclient.New(network.Client())
		test(t.Context(), e, client)
		client.CloseIdleConnections()
		e.Close()
		stop()
	})
}

// openStream starts a streamed request for the given number of tokens.
func openStream(t *testing.T, ctx context.Context, c *engineclient.Client, id string, tokens, priority int) *engineclient.Stream {
	t.Helper()
	s, err := c.Stream(ctx, engineclient.StreamRequest{
		Address: engineAddress, RequestID: id, Attempt: 1, Priority: priority, Body: requestBody(t, tokens, "", 0),
	})
	assert.NilError(t, err)
	return s
}

// Guards against a batch that takes no longer than one generation, which would
// hide overload.
func TestTokenTimeGrowsWithBatchSize(t *testing.T) {
	config := engine.Config{TokenTime: 10 * time.Millisecond, TokenGrowth: 0.5, Slots: 4}
	timeBatch := func(parallel int) time.Duration {
		var duration time.Duration
		runInBubble(t, config, func(ctx context.Context, _ *engine.Engine, c *engineclient.Client) {
			begin := time.Now()
			var streams []*engineclient.Stream
			for i := range parallel {
				streams = append(streams, openStream(t, ctx, c, fmt.Sprint("r", i), 20, 0))
			}
			for _, s := range streams {
				text, _, _ := readEvents(s, 100)
				assert.Equal(t, text, engine.Answer(engine.AnswerKey(messages, 7, "v1"), 20))
				assert.NilError(t, s.Close())
			}
			duration = time.Since(begin)
		})
		return duration
	}
	one, three, eight := timeBatch(1), timeBatch(3), timeBatch(8)
	assert.Assert(t, three > one*18/10 && three < one*22/10, "%v %v", one, three)
	assert.Assert(t, eight > 4*one, "8 generations in 4 slots run as two batches, each 2.5 times as long as one generation: %v %v", one, eight)
}

// Guards against a queue that ignores priorities.
func TestHigherPriorityRunsFirst(t *testing.T) {
	runInBubble(t, engine.Config{TokenTime: time.Millisecond, Slots: 1}, func(ctx context.Context, e *engine.Engine, c *engineclient.Client) {
		var streams []*engineclient.Stream
		for i, priority := range []int{5, 0, 9} {
			streams = append(streams, openStream(t, ctx, c, fmt.Sprint("r", i), 10, priority))
		}
		for _, s := range streams {
			_, _, _ = readEvents(s, 100)
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

// Guards against generations that occupy a slot after their grace period, and
// against generations that are removed before its end.
func TestGracePeriod(t *testing.T) {
	config := engine.Config{TokenTime: 100 * time.Millisecond, GracePeriod: 3 * time.Second}
	runInBubble(t, config, func(ctx context.Context, e *engine.Engine, c *engineclient.Client) {
		s := openStream(t, ctx, c, "r1", 1000, 0)
		_, last, err := readEvents(s, 2)
		assert.NilError(t, err)
		assert.NilError(t, s.Close())
		resume := engineclient.StreamRequest{Address: engineAddress, RequestID: "r1", Attempt: 2, Body: requestBody(t, 1000, "", 0), AfterEvent: last}
		time.Sleep(2 * time.Second)
		s, err = c.Stream(ctx, resume)
		assert.NilError(t, err)
		_, next, err := readEvents(s, 15)
		assert.NilError(t, err)
		assert.Equal(t, next, last+15, "the generation continued without a connection")
		assert.NilError(t, s.Close())
		time.Sleep(4 * time.Second)
		_, err = c.Stream(ctx, resume)
		assert.Assert(t, errors.Is(err, engineclient.ErrUnknownRequest), err)
		load, err := c.Load(ctx, engineAddress)
		assert.NilError(t, err)
		assert.Equal(t, load.Running, 0)
	})
}

// Guards against load reports and cache events that are more recent than those of
// a real engine.
func TestReportLags(t *testing.T) {
	config := engine.Config{TokenTime: 10 * time.Millisecond, LoadLag: time.Second, CacheEventLag: time.Second}
	runInBubble(t, config, func(ctx context.Context, e *engine.Engine, c *engineclient.Client) {
		time.Sleep(2 * time.Second)
		original := messages[0].Content
		defer func() { messages[0].Content = original }()
		// A prompt of 200 characters fills three cache blocks.
		messages[0].Content = fmt.Sprintf("%0200d", 1)
		s := openStream(t, ctx, c, "r1", 1000, 0)
		defer func() { _ = s.Close() }()
		observe := func() (int, int) {
			load, err := c.Load(ctx, engineAddress)
			assert.NilError(t, err)
			events, err := c.CacheEvents(ctx, engineAddress, 0)
			assert.NilError(t, err)
			return load.Running, len(events.Events)
		}
		time.Sleep(500 * time.Millisecond)
		load, events := observe()
		assert.Equal(t, load, 0)
		assert.Equal(t, events, 0)
		time.Sleep(time.Second)
		load, events = observe()
		assert.Equal(t, load, 1)
		assert.Equal(t, events, 3)
	})
}

// Guards against a fault that applies outside of the model or load to which it is
// limited.
func TestFaultScope(t *testing.T) {
	config := engine.Config{TokenTime: 10 * time.Millisecond}
	runInBubble(t, config, func(ctx context.Context, e *engine.Engine, c *engineclient.Client) {
		timeRequest := func(id string) time.Duration {
			begin := time.Now()
			s := openStream(t, ctx, c, id, 20, 0)
			_, _, _ = readEvents(s, 100)
			assert.NilError(t, s.Close())
			return time.Since(begin)
		}
		normal := timeRequest("a")
		e.Faults().Update(func(f *engine.Faults) { f.SlowFactor, f.OnlyModel = 4, "other" })
		assert.Equal(t, timeRequest("b"), normal)
		e.Faults().Update(func(f *engine.Faults) { f.OnlyModel, f.MinLoad = "draft", 2 })
		assert.Equal(t, timeRequest("c"), normal)
		e.Faults().Update(func(f *engine.Faults) { f.MinLoad = 0 })
		assert.Assert(t, timeRequest("d") > 3*normal)
	})
}

// Guards against a resumption that reuses an idle connection which became silent
// together with the connection that it replaces.
func TestResumptionAvoidsSilentIdleConnections(t *testing.T) {
	runInBubble(t, engine.Config{TokenTime: 10 * time.Millisecond}, func(ctx context.Context, e *engine.Engine, c *engineclient.Client) {
		first, second := openStream(t, ctx, c, "a", 10, 0), openStream(t, ctx, c, "b", 20, 0)
		for _, s := range []*engineclient.Stream{first, second} {
			_, _, _ = readEvents(s, 100)
			assert.NilError(t, s.Close())
		}
		// The next stream uses one of the two idle connections, the other one stays
		// idle.
		silent := errors.New("silent")
		deadline, cancel := context.WithCancelCause(ctx)
		watchdog := time.AfterFunc(2*time.Second, func() { cancel(silent) })
		s, err := c.Stream(deadline, engineclient.StreamRequest{Address: engineAddress, RequestID: "c", Attempt: 1, Body: requestBody(t, 1000, "", 0)})
		assert.NilError(t, err)
		_, last, err := readEvents(s, 5)
		assert.NilError(t, err)
		e.Faults().Update(func(f *engine.Faults) { f.SilentConnections = true })
		for err == nil {
			// Events that were sent before the fault was set may still arrive.
			var event relay.Event
			if event, err = s.Next(); err == nil {
				last = event.ID
			}
		}
		assert.Assert(t, deadline.Err() != nil, err)
		assert.NilError(t, s.Close())
		watchdog.Stop()
		begin := time.Now()
		s, err = c.Stream(ctx, engineclient.StreamRequest{Address: engineAddress, RequestID: "c", Attempt: 2, Body: requestBody(t, 1000, "", 0), AfterEvent: last})
		assert.NilError(t, err)
		_, next, err := readEvents(s, 1)
		assert.NilError(t, err)
		assert.Equal(t, next, last+1)
		assert.Assert(t, time.Since(begin) < time.Second)
		assert.NilError(t, s.Close())
		assert.NilError(t, c.Cancel(ctx, engineAddress, "c"))
	})
}

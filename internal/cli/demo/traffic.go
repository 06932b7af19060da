package demo

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

// traffic is a bounded background load of short whole answers.
type traffic struct {
	cancel context.CancelFunc
	close  func()
	wait   sync.WaitGroup

	sent   atomic.Int64
	failed atomic.Int64
	mu     sync.Mutex
	first  error
}

// startTraffic keeps workers busy until stop is called.
func (d *demo) startTraffic(parent context.Context, workers int) (*traffic, error) {
	app, err := d.application(chatToken)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(parent)
	t := &traffic{cancel: cancel, close: app.close}
	for w := range workers {
		t.wait.Add(1)
		go func() {
			defer t.wait.Done()
			for n := 0; ctx.Err() == nil; n++ {
				q := chat{id: "load-" + uuid.NewString(), prompt: fmt.Sprintf("Question %d of guest %d.", n, w), seed: int64(n + 1), maxTokens: 6}
				_, err := app.whole(ctx, q)
				if ctx.Err() != nil {
					return
				}
				t.sent.Add(1)
				if err != nil {
					t.fail(err)
				}
			}
		}()
	}
	return t, nil
}

func (t *traffic) fail(err error) {
	t.failed.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.first == nil {
		t.first = err
	}
}

func (t *traffic) stop() {
	t.cancel()
	t.wait.Wait()
	t.close()
}

// streams runs chats as streams that start one after another at a short
// distance, and compares each answer with the reference. Without an entry they
// are spread over all.
func (d *demo) streams(ctx context.Context, version, entry string, chats []chat) ([]*answer, error) {
	expected := make([]string, len(chats))
	references, referenceCtx := errgroup.WithContext(ctx)
	for i, q := range chats {
		references.Go(func() (err error) {
			expected[i], err = d.reference(referenceCtx, version, q)
			return errors.Trace(err)
		})
	}
	if err := references.Wait(); err != nil {
		return nil, err
	}
	// Load reports lag by 200 ms; until then the engine that gave the
	// references looks busy.
	time.Sleep(300 * time.Millisecond)
	c := d.caller(chatToken)
	entries := d.daemonAddresses()
	answers := make([]*answer, len(chats))
	group := errgroup.Group{}
	for i, q := range chats {
		group.Go(func() error {
			first := entry
			if first == "" {
				first = entries[i%len(entries)]
			}
			a, err := c.stream(ctx, first, q)
			if err != nil {
				return errors.Trace(err)
			}
			answers[i] = a
			if a.text != expected[i] {
				return errors.Errorf("%s differs from the reference: %d bytes instead of %d", q.id, len(a.text), len(expected[i]))
			}
			return nil
		})
		time.Sleep(5 * time.Millisecond)
	}
	return answers, group.Wait()
}

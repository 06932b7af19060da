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

// traffic is a background load of short chat completions that are not streamed,
// from a fixed number of workers.
type traffic struct {
	cancel      context.CancelFunc
	closeClient func()
	wait        sync.WaitGroup

	sent     atomic.Int64
	failed   atomic.Int64
	mu       sync.Mutex
	firstErr error
}

// startTraffic starts workers that send requests until stop is called.
func (d *demo) startTraffic(parent context.Context, workers int) (*traffic, error) {
	client, err := d.newLibraryClient(chatToken)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(parent)
	t := &traffic{cancel: cancel, closeClient: client.close}
	for w := range workers {
		t.wait.Add(1)
		go func() {
			defer t.wait.Done()
			for n := 0; ctx.Err() == nil; n++ {
				chat := chatRequest{id: "load-" + uuid.NewString(), prompt: fmt.Sprintf("Question %d of guest %d.", n, w), seed: int64(n + 1), maxTokens: 6}
				_, err := client.complete(ctx, chat)
				if ctx.Err() != nil {
					return
				}
				t.sent.Add(1)
				if err != nil {
					t.recordFailure(err)
				}
			}
		}()
	}
	return t, nil
}

func (t *traffic) recordFailure(err error) {
	t.failed.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.firstErr == nil {
		t.firstErr = err
	}
}

func (t *traffic) stop() {
	t.cancel()
	t.wait.Wait()
	t.closeClient()
}

// runStreams runs chats as streams, starting one every 5 ms, and compares each
// answer with the reference answer of version. The streams are sent to the daemon at
// entry, or to all daemons in turn if entry is empty.
func (d *demo) runStreams(ctx context.Context, version, entry string, chats []chatRequest) ([]*chatAnswer, error) {
	expected := make([]string, len(chats))
	references, referenceCtx := errgroup.WithContext(ctx)
	for i, chat := range chats {
		references.Go(func() (err error) {
			expected[i], err = d.referenceAnswer(referenceCtx, version, chat)
			return errors.Trace(err)
		})
	}
	if err := references.Wait(); err != nil {
		return nil, err
	}
	// Load reports are delayed by 200 ms; until then the engine that generated
	// the references is reported as busy.
	time.Sleep(300 * time.Millisecond)
	c := d.newAPICaller(chatToken)
	entries := d.daemonAddresses()
	answers := make([]*chatAnswer, len(chats))
	group := errgroup.Group{}
	for i, chat := range chats {
		group.Go(func() error {
			address := entry
			if address == "" {
				address = entries[i%len(entries)]
			}
			a, err := c.stream(ctx, address, chat)
			if err != nil {
				return errors.Trace(err)
			}
			answers[i] = a
			if a.text != expected[i] {
				return errors.Errorf("%s differs from the reference answer: %d bytes instead of %d", chat.id, len(a.text), len(expected[i]))
			}
			return nil
		})
		time.Sleep(5 * time.Millisecond)
	}
	return answers, group.Wait()
}

package intent

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/objectclient"
)

// writerIdleTimeout is how long a writer without operations keeps its goroutine.
const writerIdleTimeout = 5 * time.Second

// maxBatch bounds the operations in one write, and maxBatchBytes the bodies of
// its outcomes, so that a head stays below the object API's limit of 1 MiB: up
// to 400 KiB of calls in progress, 256 KiB of entries to be sealed, and the
// additions of one batch. The writer seals one segment per write.
const (
	maxBatch      = 500
	maxBatchBytes = 128 << 10
)

// writer commits the operations of one shard, one write at a time.
type writer struct {
	log   *Log
	shard int
	name  string

	mu       sync.Mutex
	running  bool
	begins   []*beginOp
	finishes []*finishOp
	wake     chan struct{}

	// The fields below are accessed only by the writer's goroutine.

	// head is the latest known version; nil when it must be read.
	head     *head
	readAt   time.Time
	segments segments
	// remembered is the latest version that is known to have been stored. A store that is
	// restored from a copy may have lost its entries; mustStore is set while the head has
	// entries that must be stored again.
	remembered *head
	mustStore  bool
	// writeUnresolved reports that a write was sent whose result is not known,
	// so it may still change the stored object.
	writeUnresolved bool
	// waiting holds the operations whose key has another dispatch in progress.
	waiting []*beginOp
	// unreachableSince maps the address of a daemon that does not answer to the
	// time of its first failure to answer.
	unreachableSince map[string]time.Time
	// orphans holds segments that were written but may not be referenced by a
	// head.
	orphans []segmentRef
}

func newWriter(l *Log, shard int) *writer {
	return &writer{log: l, shard: shard, name: strconv.Itoa(shard), wake: make(chan struct{}, 1), unreachableSince: map[string]time.Time{}}
}

// enqueue adds operations and starts the goroutine when it is not running. It
// returns false when the queue of begin operations is full; finish operations
// are always accepted.
func (w *writer) enqueue(begin *beginOp, finishes ...*finishOp) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if begin != nil {
		if len(w.begins) >= w.log.options.MaxQueuedPerShard {
			return false
		}
		w.begins = append(w.begins, begin)
	}
	w.finishes = append(w.finishes, finishes...)
	if !w.running {
		w.running = true
		w.log.tasks.Go(w.run)
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return true
}

// dequeue removes up to maxBatch operations from the queue, with outcome bodies
// up to maxBatchBytes. At least one outcome is removed even if its body is
// larger.
func (w *writer) dequeue() ([]*beginOp, []*finishOp) {
	w.mu.Lock()
	defer w.mu.Unlock()
	begins := w.begins[:min(len(w.begins), maxBatch)]
	n, size := 0, 0
	for n < min(len(w.finishes), maxBatch-len(begins)) && (n == 0 || size < maxBatchBytes) {
		size += len(w.finishes[n].outcome.Body)
		n++
	}
	finishes := w.finishes[:n]
	w.begins, w.finishes = w.begins[len(begins):], w.finishes[n:]
	return begins, finishes
}

func (w *writer) queued() (begins, finishes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.begins), len(w.finishes)
}

func (w *writer) run() {
	failures := 0
	for {
		if !w.awaitWork() {
			return
		}
		if w.log.limiter.Wait(w.log.ctx) != nil {
			w.stop()
			return
		}
		w.recheckWaiting()
		begins, finishes := w.dequeue()
		if len(begins)+len(finishes) == 0 {
			continue
		}
		if w.commit(begins, finishes) {
			failures = 0
			continue
		}
		failures++
		w.pause(min(50*time.Millisecond<<min(failures, 5), time.Second))
	}
}

// awaitWork blocks until there are operations to process. It returns false when
// the goroutine must end.
func (w *writer) awaitWork() bool {
	idle := time.NewTimer(writerIdleTimeout)
	defer idle.Stop()
	var delay, poll <-chan time.Time
	for {
		begins, finishes := w.queued()
		if begins > 0 || finishes >= maxBatch {
			return true
		}
		if finishes > 0 && delay == nil {
			timer := time.NewTimer(w.finishDelay())
			defer timer.Stop()
			delay = timer.C
		}
		if len(w.waiting) > 0 && poll == nil {
			timer := time.NewTimer(w.log.options.WaitPollInterval)
			defer timer.Stop()
			poll = timer.C
		}
		select {
		case <-w.wake:
		case <-delay:
			return true
		case <-poll:
			return true
		case <-w.log.ctx.Done():
			w.stop()
			return false
		case <-idle.C:
			if len(w.waiting) == 0 && w.stopIfIdle() {
				return false
			}
			idle.Reset(writerIdleTimeout)
		}
	}
}

// finishDelay returns how long outcomes wait to be written together with an
// intent. While the write budget is low, it is reserved for intents, because
// their callers are waiting.
func (w *writer) finishDelay() time.Duration {
	if w.log.limiter.Tokens() < float64(w.log.options.WriteBurst)/2 {
		return 10 * w.log.options.FinishDelay
	}
	return w.log.options.FinishDelay
}

func (w *writer) stopIfIdle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.begins)+len(w.finishes) > 0 {
		return false
	}
	w.running = false
	return true
}

// stop fails the queued and waiting begin operations after the Log was closed.
// Outcomes that are still queued are not written.
func (w *writer) stop() {
	w.mu.Lock()
	begins := append(w.begins, w.waiting...)
	w.begins, w.running = nil, false
	w.mu.Unlock()
	for _, op := range begins {
		op.settle(result{err: errors.Annotate(objectclient.ErrUnavailable, "the intent log is closed")})
		op.release()
	}
}

func (w *writer) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.log.ctx.Done():
	}
}

// storeContext returns a context that bounds one call to the object API.
func (w *writer) storeContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(w.log.ctx, w.log.options.CommitTimeout)
}

// read updates the head from the object API.
func (w *writer) read() error {
	ctx, cancel := w.storeContext()
	defer cancel()
	w.log.stats.Gets.Add(1)
	o, err := w.log.options.Store.Get(ctx, objectKind, w.name)
	if errors.Is(err, objectclient.ErrNotFound) {
		return w.adopt(emptyHead())
	}
	if err != nil {
		return errors.Trace(err)
	}
	h, err := decodeHead(o)
	if err != nil {
		return errors.Trace(err)
	}
	return w.adopt(h)
}

// adopt sets the head to h, which was just read, once its segments are indexed.
func (w *writer) adopt(h *head) error {
	w.head = nil
	ctx, cancel := w.storeContext()
	defer cancel()
	if err := w.segments.loadMissing(ctx, w.log, h); err != nil {
		return err
	}
	if w.isRestored() && h.addLost(w.remembered) {
		w.mustStore = true
		w.log.options.Scope.Counter("intent_restored").Inc(1)
		w.log.options.Logger.Warn("the object API was restored and has lost intents or outcomes; storing those that are remembered again", "shard", w.shard)
	}
	w.head, w.remembered, w.readAt = h, h, time.Now()
	return nil
}

// isRestored reports whether the store was restored since the remembered head was stored.
func (w *writer) isRestored() bool {
	return w.remembered != nil && w.log.options.Store.Eras().Current() > w.remembered.version.Era()
}

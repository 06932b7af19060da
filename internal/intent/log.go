package intent

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
)

// closeTimeout bounds how long a closing Log writes its remaining outcomes.
const closeTimeout = 5 * time.Second

// Log is a Recorder that stores its records in the object API. Any number of
// Logs may write to a shard; conflicts are resolved by conditional updates. It
// is safe for concurrent use.
type Log struct {
	options        Options
	logID          string
	openDispatches *openDispatches
	avoidList      avoidList
	stats          Stats
	limiter        *rate.Limiter
	ctx            context.Context
	cancel         context.CancelFunc
	tasks          sync.WaitGroup
	writers        []*writer
	senders        []*sender
}

var _ Recorder = (*Log)(nil)

// NewLog returns a Log that is ready for use. Run must be called so that
// remaining outcomes are written at shutdown.
func NewLog(options Options) *Log {
	options.setDefaults()
	l := &Log{
		options:        options,
		logID:          uuid.NewString(),
		openDispatches: newOpenDispatches(),
		limiter:        rate.NewLimiter(rate.Limit(options.WritesPerSecond), options.WriteBurst),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	for shard := range options.Shards {
		l.writers = append(l.writers, newWriter(l, shard))
		l.senders = append(l.senders, &sender{log: l, shard: shard})
	}
	return l
}

// Stats returns the counters of the Log.
func (l *Log) Stats() *Stats { return &l.stats }

// Run blocks until ctx ends, calls Flush for at most closeTimeout, and stops the Log.
// It returns the error of Flush. A write that is still in progress when Flush returns
// is cancelled.
func (l *Log) Run(ctx context.Context) error {
	<-ctx.Done()
	flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	err := l.Flush(flushCtx)
	l.cancel()
	l.tasks.Wait()
	return err
}

// Flush blocks until no outcome passed to Finish is queued any more. The write of
// the last ones may still be in progress. It returns an error that wraps
// objectclient.ErrUnavailable when ctx ends first.
func (l *Log) Flush(ctx context.Context) error {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for l.unwrittenOutcomes() > 0 {
		select {
		case <-ctx.Done():
			return errors.Annotatef(objectclient.ErrUnavailable, "intent log was not flushed: %d outcomes are not written", l.unwrittenOutcomes())
		case <-ticker.C:
		}
	}
	return nil
}

func (l *Log) unwrittenOutcomes() int {
	n := 0
	for shard := range l.writers {
		_, finishes := l.writers[shard].queued()
		n += finishes + l.senders[shard].queued()
	}
	return n
}

// Begin implements Recorder.
func (l *Log) Begin(ctx context.Context, key Key, digest, nonce string) (Grant, error) {
	if d := l.openDispatches.grantFor(nonce); d != nil && d.key == key.bounded() {
		return Grant{Granted: true}, nil
	}
	key = key.bounded()
	op := &beginOp{
		key: key, digest: digest,
		// Each attempt is recorded under a nonce of its own: a failed attempt
		// is withdrawn, which must not affect a later one.
		nonce:     nonce + "/" + uuid.NewString(),
		requester: l.requester(),
		deadline:  time.Now().Add(l.options.CommitTimeout),
		done:      make(chan struct{}),
	}
	op.onRelease = func() { l.openDispatches.removeEntry(op.nonce) }
	started := time.Now()
	l.openDispatches.addEntry(op.nonce)
	r := l.begin(ctx, op)
	if r.err == nil && r.grant.Granted && time.Since(started) > l.options.Retention/2 {
		// The process may have been suspended meanwhile, so the record may be
		// older than its retention.
		l.writers[l.shard(key)].enqueue(nil, op.withdrawal())
		return Grant{}, errors.Annotate(objectclient.ErrUnavailable, "the intent was granted after more than half of the retention")
	}
	if r.err == nil && r.grant.Granted {
		l.openDispatches.addGrant(nonce, &grantedDispatch{key: key, nonce: op.nonce})
	}
	return r.grant, r.err
}

// begin commits the intent through the preferred daemon of the shard, or
// through the local writer when that daemon does not answer. Unless the intent
// is granted, op is eventually released.
func (l *Log) begin(ctx context.Context, op *beginOp) result {
	shard := l.shard(op.key)
	if preferred, isOther := l.preferred(shard); isOther {
		r, decided := l.forwardBegin(ctx, preferred, op)
		if decided {
			if !r.grant.Granted {
				op.release()
			}
			return r
		}
		if ctx.Err() == nil {
			l.avoidList.add(preferred.Address, time.Now())
		}
		l.stats.Fallbacks.Add(1)
		l.options.Scope.Counter("intent_fell_back").Inc(1)
		// The preferred daemon may have written the intent.
		op.mayBeCommitted, op.mayBeCommittedRemotely = true, true
	}
	return l.beginLocal(ctx, op)
}

// beginLocal commits the intent through the local writer. Once the operation is
// queued, the writer is responsible for releasing it, or for withdrawing its
// intent if the caller has stopped waiting.
func (l *Log) beginLocal(ctx context.Context, op *beginOp) result {
	w := l.writers[l.shard(op.key)]
	if !w.enqueue(op) {
		w.dismiss(op)
		return result{err: errors.Annotate(objectclient.ErrUnavailable, "too many intents are waiting")}
	}
	for {
		// An operation that waits for the outcome of another dispatch is
		// bounded only by the caller's deadline.
		limit := time.NewTimer(max(time.Until(op.deadline), 100*time.Millisecond))
		select {
		case <-op.done:
			limit.Stop()
			r, _ := op.abandon()
			return r
		case <-ctx.Done():
			limit.Stop()
			return l.stopWaiting(op, ctx.Err())
		case <-limit.C:
			if !op.isWaiting() {
				return l.stopWaiting(op, errors.New("the intent was not committed by its deadline"))
			}
		case <-l.ctx.Done():
			limit.Stop()
			return l.stopWaiting(op, errors.New("the intent log is closed"))
		}
	}
}

// stopWaiting stops waiting for an operation. While another dispatch with the key is
// in progress, the outcome is unknown.
func (l *Log) stopWaiting(op *beginOp, cause error) result {
	waiting := op.isWaiting()
	if r, settled := op.abandon(); settled {
		return r
	}
	if waiting {
		return result{grant: Grant{Outcome: Outcome{Execution: ExecutionUnknown}}}
	}
	return result{err: errors.Annotate(objectclient.ErrUnavailable, cause.Error())}
}

// Finish implements Recorder.
func (l *Log) Finish(key Key, nonce string, outcome Outcome) {
	key = key.bounded()
	d := l.openDispatches.removeGrant(nonce)
	if d == nil || d.key != key {
		l.options.Logger.Warn("ignoring the outcome of a call that was not granted", "route", key.Route)
		l.options.Scope.Counter("intent_stray_outcomes").Inc(1)
		return
	}
	if len(outcome.Body) > l.options.MaxBodyBytes {
		outcome.Body, outcome.Truncated = nil, true
	}
	op := &finishOp{key: key, nonce: d.nonce, outcome: outcome, onCommit: func() { l.openDispatches.removeEntry(d.nonce) }}
	shard := l.shard(key)
	if _, isOther := l.preferred(shard); isOther {
		l.senders[shard].enqueue(op)
		return
	}
	l.writers[shard].enqueue(nil, op)
}

func (l *Log) requester() requester {
	self := l.options.Table.Self()
	return requester{Daemon: self.Name, Address: self.Address, Log: l.logID}
}

func (l *Log) shard(key Key) int { return int(key.hash() % uint64(l.options.Shards)) }

// preferred returns the daemon that should write a shard, and whether it is a
// daemon other than this one.
func (l *Log) preferred(shard int) (membership.Daemon, bool) {
	self := l.options.Table.Self()
	if l.options.Peers == nil {
		return self, false
	}
	key := objectKind + "/" + l.writers[shard].name
	best := self
	avoided := l.avoidList.current(time.Now())
	weight := membership.Weight(key, self.Name)
	if self.Leaving {
		weight = 0
	}
	for _, d := range l.options.Table.Daemons() {
		if w := membership.Weight(key, d.Name); w > weight && !avoided[d.Address] {
			best, weight = d, w
		}
	}
	return best, best.Name != self.Name
}

// now returns the store's time, or the zero time while it is not known. At the
// zero time no entry is older than its retention.
func (l *Log) now() time.Time {
	now, _ := l.options.Store.Now()
	return now
}

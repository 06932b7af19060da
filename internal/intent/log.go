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

// closeTimeout bounds the time in which a closing Log writes the outcomes that
// it still has.
const closeTimeout = 5 * time.Second

// Log is the Recorder that keeps its records in the object API. Any number of
// Logs may write a shard; the conditional update decides. It is safe for
// concurrent use.
type Log struct {
	options Options
	id      string
	open    *openDispatches
	avoided avoidance
	stats   Stats
	limiter *rate.Limiter
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	writers []*writer
	senders []*sender
}

var _ Recorder = (*Log)(nil)

// NewLog returns a Log that is ready for use. Run must be called for the
// outcomes to be written before the end.
func NewLog(options Options) *Log {
	options.setDefaults()
	l := &Log{
		options: options,
		id:      uuid.NewString(),
		open:    newOpenDispatches(),
		limiter: rate.NewLimiter(rate.Limit(options.WritesPerSecond), options.WriteBurst),
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

// Run waits until ctx ends, writes the outcomes that are left within a bounded
// time and stops the Log.
func (l *Log) Run(ctx context.Context) error {
	<-ctx.Done()
	flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	err := l.Flush(flushCtx)
	l.cancel()
	l.tasks.Wait()
	return err
}

// Flush waits until every outcome that was handed in is written.
func (l *Log) Flush(ctx context.Context) error {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for l.unwritten() > 0 {
		select {
		case <-ctx.Done():
			return errors.Annotatef(objectclient.ErrUnavailable, "%d outcomes are not written", l.unwritten())
		case <-ticker.C:
		}
	}
	return nil
}

func (l *Log) unwritten() int {
	n := 0
	for shard := range l.writers {
		_, finishes := l.writers[shard].queued()
		n += finishes + l.senders[shard].queued()
	}
	return n
}

// Begin implements Recorder.
func (l *Log) Begin(ctx context.Context, key Key, digest, nonce string) (Grant, error) {
	if d := l.open.granted(nonce); d != nil && d.key == key.bounded() {
		return Grant{Granted: true}, nil
	}
	key = key.bounded()
	op := &beginOp{
		key: key, digest: digest,
		// Each attempt has its own nonce in the record: an attempt that failed
		// is withdrawn, which must not touch a later one.
		nonce:    nonce + "/" + uuid.NewString(),
		by:       l.requester(),
		deadline: time.Now().Add(l.options.CommitTimeout),
		done:     make(chan struct{}),
	}
	op.end = func() { l.open.end(op.nonce) }
	started := time.Now()
	l.open.start(op.nonce)
	r := l.begin(ctx, op)
	if r.err == nil && r.grant.Granted && time.Since(started) > l.options.Retention/2 {
		// The process was paused, so the record may have passed its retention.
		l.writers[l.shard(key)].enqueue(nil, op.withdrawal())
		return Grant{}, errors.Annotate(objectclient.ErrUnavailable, "the grant came too late")
	}
	if r.err == nil && r.grant.Granted {
		l.open.grant(nonce, &dispatch{key: key, nonce: op.nonce})
	}
	return r.grant, r.err
}

// begin lets the preferred daemon of the shard decide, or this one when that
// does not answer. Unless the intent is granted, op is released in the end.
func (l *Log) begin(ctx context.Context, op *beginOp) result {
	shard := l.shard(op.key)
	if preferred, other := l.preferred(shard); other {
		r, taken := l.forwardBegin(ctx, preferred, op)
		if taken {
			if !r.grant.Granted {
				op.release()
			}
			return r
		}
		if ctx.Err() == nil {
			l.avoided.add(preferred.Address, time.Now())
		}
		l.stats.FellBack.Add(1)
		l.options.Scope.Counter("intent_fell_back").Inc(1)
		// The preferred daemon may have written the intent.
		op.attempted, op.elsewhere = true, true
	}
	return l.beginHere(ctx, op)
}

// beginHere lets this daemon's writer decide. Once it has the operation, the
// writer also releases it, or withdraws its intent when nobody waits for it any
// more.
func (l *Log) beginHere(ctx context.Context, op *beginOp) result {
	w := l.writers[l.shard(op.key)]
	if !w.enqueue(op) {
		w.dismiss(op)
		return result{err: errors.Annotate(objectclient.ErrUnavailable, "too many intents are waiting")}
	}
	for {
		// An operation that waits for another's outcome has no deadline but
		// the caller's.
		limit := time.NewTimer(max(time.Until(op.deadline), 100*time.Millisecond))
		select {
		case <-op.done:
			limit.Stop()
			r, _ := op.abandon()
			return r
		case <-ctx.Done():
			limit.Stop()
			return l.giveUp(op, ctx.Err())
		case <-limit.C:
			if !op.isWaiting() {
				return l.giveUp(op, errors.New("no commit in time"))
			}
		case <-l.ctx.Done():
			limit.Stop()
			return l.giveUp(op, errors.New("the intent log is closed"))
		}
	}
}

// giveUp ends the wait for an operation. While another dispatch with the key is
// in progress, nothing is known of the call.
func (l *Log) giveUp(op *beginOp, cause error) result {
	waits := op.isWaiting()
	if r, settled := op.abandon(); settled {
		return r
	}
	if waits {
		return result{grant: Grant{Outcome: Outcome{Ran: RanUnknown}}}
	}
	return result{err: errors.Annotate(objectclient.ErrUnavailable, cause.Error())}
}

// Finish implements Recorder.
func (l *Log) Finish(key Key, nonce string, outcome Outcome) {
	key = key.bounded()
	d := l.open.finish(nonce)
	if d == nil || d.key != key {
		l.options.Logger.Warn("outcome of a call that was not granted is ignored", "route", key.Route)
		l.options.Scope.Counter("intent_stray_outcomes").Inc(1)
		return
	}
	if len(outcome.Body) > l.options.MaxBodyBytes {
		outcome.Body, outcome.Truncated = nil, true
	}
	op := &finishOp{key: key, nonce: d.nonce, outcome: outcome, done: func() { l.open.end(d.nonce) }}
	shard := l.shard(key)
	if _, other := l.preferred(shard); other {
		l.senders[shard].enqueue(op)
		return
	}
	l.writers[shard].enqueue(nil, op)
}

func (l *Log) requester() requester {
	self := l.options.Table.Self()
	return requester{Daemon: self.Name, Address: self.Address, Log: l.id}
}

func (l *Log) shard(key Key) int { return int(key.hash() % uint64(l.options.Shards)) }

// preferred returns the daemon that should write a shard, and whether that is
// another one.
func (l *Log) preferred(shard int) (membership.Daemon, bool) {
	self := l.options.Table.Self()
	if l.options.Peers == nil {
		return self, false
	}
	key := objectKind + "/" + l.writers[shard].name
	best := self
	avoided := l.avoided.current(time.Now())
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

// now returns the store's time. While it is not known, it is the zero time, at
// which nothing has passed its retention.
func (l *Log) now() time.Time {
	now, _ := l.options.Store.Now()
	return now
}

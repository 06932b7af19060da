package intent

import (
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"rattantide/internal/objectclient"
)

// maxCommitAttempts bounds the attempts to write a batch while each of them fails
// with a version conflict. After the last one, the batch is queued again.
const maxCommitAttempts = 5

// commit writes a batch and reports whether the object API accepted it.
// Operations with an unknown result are retried; an intent that took effect is
// then recognized by its nonce.
func (w *writer) commit(begins []*beginOp, finishes []*finishOp) bool {
	w.log.stats.Begins.Add(int64(len(begins)))
	var err error
	for range maxCommitAttempts {
		begins = w.dropAbandoned(begins)
		if w.head == nil || w.isRestored() {
			if err = w.read(); err != nil {
				break
			}
		}
		var done bool
		if done, err = w.tryCommit(begins, finishes); done {
			return true
		}
		if err != nil && !errors.Is(err, objectclient.ErrConflict) {
			break
		}
	}
	w.log.options.Scope.Counter("intent_commit_failed").Inc(1)
	w.log.options.Logger.Warn("failed to write a batch of intents and outcomes; retrying the outcomes and the intents that may be committed", "shard", w.shard, "error", err)
	w.requeue(begins, finishes, err)
	return false
}

// tryCommit makes one attempt to write a batch. It returns true once every
// operation is settled or is waiting for another dispatch.
func (w *writer) tryCommit(begins []*beginOp, finishes []*finishOp) (bool, error) {
	now := w.log.now()
	if now.IsZero() {
		return false, errors.Annotate(objectclient.ErrUnavailable, "the store's time is not known")
	}
	base := w.head
	ref, sealedEntries, err := w.sealBase(base)
	if err != nil {
		w.log.options.Logger.Warn("failed to write intent log segment; its entries stay in the head", "shard", w.shard, "error", err)
	}
	next := base.clone()
	if ref != nil {
		for _, e := range sealedEntries {
			delete(next.entries, e.Key)
		}
		next.segments = append(next.segments, *ref)
	}
	dropped := next.expire(now, w.log.options.Retention, w.log.options.PendingTimeout)

	changed := w.writeUnresolved || w.mustStore || ref != nil
	for _, op := range finishes {
		sealed, err := w.sealedEntry(base, next, op.key)
		if err != nil {
			return false, err
		}
		changed = next.applyFinish(op, sealed, now) || changed
	}
	settlements := make([]func(), 0, len(begins))
	for _, op := range begins {
		sealed, err := w.sealedEntry(base, next, op.key)
		if err != nil {
			return false, err
		}
		v, existing, added := next.applyBegin(op, sealed, now)
		if added {
			op.mayBeCommitted, changed = true, true
		}
		settlements = append(settlements, func() { w.settleBegin(op, v, existing) })
	}
	if changed {
		if err := w.put(next); err != nil {
			if ref != nil {
				w.orphans = append(w.orphans, *ref)
			}
			return false, err
		}
		if ref != nil {
			w.segments.add(ref.Name, sealedEntries)
		}
		w.deleteUnreferenced(dropped)
	}
	w.log.stats.Finishes.Add(int64(len(finishes)))
	for _, op := range finishes {
		if op.onCommit != nil {
			op.onCommit()
		}
	}
	for _, settle := range settlements {
		settle()
	}
	w.requeueUnblocked()
	return true, nil
}

// sealedEntry returns the entry of a key that the next head does not contain:
// an entry that is being sealed, or one from an earlier segment. It returns nil
// when there is none.
func (w *writer) sealedEntry(base, next *head, key Key) (*entry, error) {
	if next.entries[key] != nil {
		return nil, nil
	}
	now := w.log.now()
	if e := base.entries[key]; e != nil {
		if e.Outcome == nil || e.EndedMs >= now.Add(-w.log.options.Retention).UnixMilli() {
			return e, nil
		}
		return nil, nil
	}
	ctx, cancel := w.storeContext()
	defer cancel()
	e, err := w.segments.find(ctx, w.log, next, key)
	if err != nil {
		w.head = nil
	}
	return e, err
}

// put writes the next head. Afterwards w.head is the stored version, or nil
// when the stored version is not known.
func (w *writer) put(next *head) error {
	value, err := next.encode(uuid.NewString())
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := w.storeContext()
	defer cancel()
	w.log.stats.Puts.Add(1)
	stored, err := w.log.options.Store.Put(ctx, objectKind, w.name, next.version, value)
	switch {
	case err == nil:
		w.log.options.Scope.Counter("intent_writes").Inc(1)
		next.version = stored.Version
		w.head, w.remembered, w.readAt, w.writeUnresolved, w.mustStore = next, next, time.Now(), false, false
		return nil
	case errors.Is(err, objectclient.ErrConflict):
		w.log.stats.Conflicts.Add(1)
		w.log.options.Scope.Counter("intent_conflicts").Inc(1)
		// The stored version is newer, so no earlier write can take effect.
		w.head, w.writeUnresolved = nil, false
		if stored != nil {
			if h, decodeErr := decodeHead(stored); decodeErr == nil {
				// If the segments cannot be read, the next read returns the
				// error.
				_ = w.adopt(h)
			}
		}
		return err
	case errors.Is(err, objectclient.ErrRateLimited):
		// The write had no effect, and reading would add further calls.
		return err
	}
	w.head, w.writeUnresolved = nil, true
	return err
}

// sealBase writes a segment of the head's oldest finished entries, and returns its
// reference and entries, or nil if there is nothing to seal. A segment that is
// returned without an error is known to be stored.
func (w *writer) sealBase(base *head) (*segmentRef, []*entry, error) {
	ref, entries := base.seal(w.shard, w.log.options.SegmentBytes)
	if ref == nil || base.references(ref.Name) {
		return nil, nil, nil
	}
	value, err := encodeSegment(entries)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	ctx, cancel := w.storeContext()
	defer cancel()
	w.log.stats.Puts.Add(1)
	stored, err := w.log.options.Store.Put(ctx, objectKind, ref.Name, objectclient.MustNotExist, value)
	if errors.Is(err, objectclient.ErrConflict) && stored != nil && string(stored.Value) == string(value) {
		return ref, entries, nil
	}
	if err != nil {
		w.orphans = append(w.orphans, *ref)
		return nil, nil, err
	}
	return ref, entries, nil
}

// deleteUnreferenced deletes the orphaned and the dropped segments that the
// stored head does not reference. After a failure the object remains in the
// store, where nothing reads it.
func (w *writer) deleteUnreferenced(dropped []segmentRef) {
	for _, ref := range append(w.orphans, dropped...) {
		if w.head.references(ref.Name) {
			continue
		}
		ctx, cancel := w.storeContext()
		w.log.stats.Deletes.Add(1)
		err := w.log.options.Store.Delete(ctx, objectKind, ref.Name, objectclient.AnyVersion)
		cancel()
		if err != nil && !errors.Is(err, objectclient.ErrNotFound) {
			w.log.options.Logger.Warn("failed to delete intent log segment", "segment", ref.Name, "error", err)
		}
	}
	w.orphans = nil
}

// settleBegin settles a begin operation according to its verdict, after the
// head that the verdict was derived from has been stored.
func (w *writer) settleBegin(op *beginOp, v verdict, existing *entry) {
	switch v {
	case verdictGranted:
		w.log.stats.Granted.Add(1)
		w.log.options.Scope.Counter("intent_granted").Inc(1)
		if !op.settle(result{grant: Grant{Granted: true}}) && !op.forwarded {
			w.enqueue(nil, op.withdrawal())
		}
	case verdictRecorded:
		op.settle(result{grant: Grant{Outcome: *existing.Outcome}})
		w.dismissRecorded(op, existing)
	case verdictReused:
		op.settle(result{err: errors.Annotatef(ErrKeyReused, "route %s", op.key.Route)})
		w.dismissRecorded(op, existing)
	case verdictWithdrawn:
		op.settle(result{err: errors.Annotate(objectclient.ErrUnavailable, "the intent was withdrawn")})
		op.release()
	case verdictFull:
		op.settle(result{err: errors.Annotate(objectclient.ErrUnavailable, "too many calls are in progress")})
		w.dismiss(op)
	case verdictWait:
		op.setWaiting(true)
		w.waiting = append(w.waiting, op)
	}
}

// dropAbandoned dismisses operations that are no longer awaited and returns the
// others. An intent that may already have been written is withdrawn.
func (w *writer) dropAbandoned(begins []*beginOp) []*beginOp {
	awaited := begins[:0:0]
	for _, op := range begins {
		if op.isAbandoned() {
			w.dismiss(op)
		} else {
			awaited = append(awaited, op)
		}
	}
	return awaited
}

// dismiss ends an operation that was not granted. An intent that may have been
// written, by this daemon or by another, is withdrawn.
func (w *writer) dismiss(op *beginOp) {
	if op.mayBeCommitted && !op.forwarded {
		w.enqueue(nil, op.withdrawal())
		return
	}
	op.release()
}

// dismissRecorded ends an operation whose key already has a record. No
// withdrawal is needed when the record is the operation's own, or when its
// outcome is final: an intent that is written after a final outcome is not
// granted.
func (w *writer) dismissRecorded(op *beginOp, existing *entry) {
	if existing.Nonce == op.nonce || existing.Outcome != nil && existing.Outcome.Execution == ExecutionDone {
		op.release()
		return
	}
	w.dismiss(op)
}

// requeue returns a batch to the queue after a failed write. Intents that were
// never sent, whose deadline has passed, or that are no longer awaited fail with
// cause.
func (w *writer) requeue(begins []*beginOp, finishes []*finishOp, cause error) {
	if cause == nil || !errors.Is(cause, objectclient.ErrUnavailable) {
		cause = errors.Annotatef(objectclient.ErrUnavailable, "%v", cause)
	}
	var retryable []*beginOp
	for _, op := range begins {
		if op.mayBeCommitted && time.Now().Before(op.deadline) && !op.isAbandoned() {
			retryable = append(retryable, op)
			continue
		}
		op.settle(result{err: cause})
		w.dismiss(op)
	}
	w.mu.Lock()
	w.begins = append(retryable, w.begins...)
	w.finishes = append(finishes, w.finishes...)
	w.mu.Unlock()
}

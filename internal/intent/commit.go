package intent

import (
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"rattantide/internal/objectclient"
)

// maxTries bounds the writes of one batch that lose against other writers
// before the batch is put back.
const maxTries = 5

// commit writes a batch and reports whether the object API took it. Operations
// whose outcome is not known are tried again: an intent that took effect is
// then found by its nonce.
func (w *writer) commit(begins []*beginOp, finishes []*finishOp) bool {
	w.log.stats.Begins.Add(int64(len(begins)))
	var err error
	for range maxTries {
		begins = w.dropAbandoned(begins)
		if w.head == nil {
			if err = w.read(); err != nil {
				break
			}
		}
		var done bool
		if done, err = w.try(begins, finishes); done {
			return true
		}
		if err != nil && !errors.Is(err, objectclient.ErrConflict) {
			break
		}
	}
	w.log.options.Scope.Counter("intent_commit_failed").Inc(1)
	w.log.options.Logger.Warn("intents could not be written", "shard", w.shard, "error", err)
	w.putBack(begins, finishes, err)
	return false
}

// try makes one attempt to write a batch. It returns true once every operation
// is answered or waits.
func (w *writer) try(begins []*beginOp, finishes []*finishOp) (bool, error) {
	now := w.log.now()
	if now.IsZero() {
		return false, errors.Annotate(objectclient.ErrUnavailable, "the store's time is not known")
	}
	base := w.head
	ref, sealedEntries, err := w.sealBase(base)
	if err != nil {
		w.log.options.Logger.Warn("segment could not be written; entries stay in the head", "shard", w.shard, "error", err)
	}
	next := base.clone()
	if ref != nil {
		for _, e := range sealedEntries {
			delete(next.entries, e.Key)
		}
		next.segments = append(next.segments, *ref)
	}
	dropped := next.expire(now, w.log.options.Retention, w.log.options.PendingMax)

	changed := w.doubt || ref != nil
	for _, op := range finishes {
		sealed, err := w.sealedEntry(base, next, op.key)
		if err != nil {
			return false, err
		}
		changed = next.finish(op, sealed, now) || changed
	}
	answers := make([]func(), 0, len(begins))
	for _, op := range begins {
		sealed, err := w.sealedEntry(base, next, op.key)
		if err != nil {
			return false, err
		}
		v, found, added := next.begin(op, sealed, now)
		if added {
			op.attempted, changed = true, true
		}
		answers = append(answers, func() { w.answer(op, v, found) })
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
		w.cleanUp(dropped)
	}
	w.log.stats.Finishes.Add(int64(len(finishes)))
	for _, op := range finishes {
		if op.done != nil {
			op.done()
		}
	}
	for _, answer := range answers {
		answer()
	}
	w.wakeWaiting()
	return true, nil
}

// sealedEntry returns the entry of a key that the next head does not hold: one
// that is about to be sealed, or one of an earlier segment.
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
// when that is not known.
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
		w.head, w.readAt, w.doubt = next, time.Now(), false
		return nil
	case errors.Is(err, objectclient.ErrConflict):
		w.log.stats.Conflicts.Add(1)
		w.log.options.Scope.Counter("intent_conflicts").Inc(1)
		// The stored version has moved on, so no earlier write can take effect.
		w.head, w.doubt = nil, false
		if stored != nil {
			if h, decodeErr := decodeHead(stored); decodeErr == nil {
				// A failure to read the segments shows again at the next read.
				_ = w.adopt(h)
			}
		}
		return err
	case errors.Is(err, objectclient.ErrRateLimited):
		// The write had no effect, and a read would add to the calls.
		return err
	}
	w.head, w.doubt = nil, true
	return err
}

// sealBase writes a segment from the head when it is full. Without an error the
// segment is stored for certain.
func (w *writer) sealBase(base *head) (*segmentRef, []*entry, error) {
	ref, entries := base.seal(w.shard, w.log.options.SegmentBytes)
	if ref == nil || base.refers(ref.Name) {
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

// cleanUp deletes segments that the stored head does not name. A failure leaves
// an object that nothing reads.
func (w *writer) cleanUp(dropped []segmentRef) {
	for _, ref := range append(w.orphans, dropped...) {
		if w.head.refers(ref.Name) {
			continue
		}
		ctx, cancel := w.storeContext()
		w.log.stats.Deletes.Add(1)
		err := w.log.options.Store.Delete(ctx, objectKind, ref.Name, objectclient.AnyVersion)
		cancel()
		if err != nil && !errors.Is(err, objectclient.ErrNotFound) {
			w.log.options.Logger.Warn("segment could not be deleted", "segment", ref.Name, "error", err)
		}
	}
	w.orphans = nil
}

// answer gives a begin operation its result after the head that it was derived
// from is stored.
func (w *writer) answer(op *beginOp, v verdict, found *entry) {
	switch v {
	case verdictGranted:
		w.log.stats.Granted.Add(1)
		w.log.options.Scope.Counter("intent_granted").Inc(1)
		if !op.settle(result{grant: Grant{Granted: true}}) && !op.forwarded {
			w.enqueue(nil, op.withdrawal())
		}
	case verdictRecorded:
		op.settle(result{grant: Grant{Outcome: *found.Outcome}})
		w.dismissRecorded(op, found)
	case verdictReused:
		op.settle(result{err: errors.Annotatef(ErrKeyReused, "route %s", op.key.Route)})
		w.dismissRecorded(op, found)
	case verdictWithdrawn:
		op.settle(result{err: errors.Annotate(objectclient.ErrUnavailable, "the intent was withdrawn")})
		op.release()
	case verdictFull:
		op.settle(result{err: errors.Annotate(objectclient.ErrUnavailable, "too many calls are in progress")})
		w.dismiss(op)
	case verdictWait:
		op.setWaits(true)
		w.waiting = append(w.waiting, op)
	}
}

// dropAbandoned removes operations that nobody waits for and that were never
// sent; what was sent is withdrawn.
func (w *writer) dropAbandoned(begins []*beginOp) []*beginOp {
	kept := begins[:0:0]
	for _, op := range begins {
		if op.isAbandoned() {
			w.dismiss(op)
		} else {
			kept = append(kept, op)
		}
	}
	return kept
}

// dismiss ends an operation that was not granted. An intent that may have been
// written, here or by another daemon, is withdrawn.
func (w *writer) dismiss(op *beginOp) {
	if op.attempted && !op.forwarded {
		w.enqueue(nil, op.withdrawal())
		return
	}
	op.release()
}

// dismissRecorded ends an operation whose key has a record. After a final
// outcome an intent that is written late is not granted any more.
func (w *writer) dismissRecorded(op *beginOp, found *entry) {
	if found.Nonce == op.nonce || found.Outcome != nil && found.Outcome.Ran == RanDone {
		op.release()
		return
	}
	w.dismiss(op)
}

// putBack queues a batch again that could not be written. Intents that were not
// sent, or whose time is over, fail.
func (w *writer) putBack(begins []*beginOp, finishes []*finishOp, cause error) {
	if cause == nil || !errors.Is(cause, objectclient.ErrUnavailable) {
		cause = errors.Annotatef(objectclient.ErrUnavailable, "%v", cause)
	}
	var again []*beginOp
	for _, op := range begins {
		if op.attempted && time.Now().Before(op.deadline) && !op.isAbandoned() {
			again = append(again, op)
			continue
		}
		op.settle(result{err: cause})
		w.dismiss(op)
	}
	w.mu.Lock()
	w.begins = append(again, w.begins...)
	w.finishes = append(finishes, w.finishes...)
	w.mu.Unlock()
}

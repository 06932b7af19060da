package intent

import "time"

// verdict is what a head says about a begin operation.
type verdict int

const (
	verdictGranted verdict = iota
	verdictRecorded
	verdictWait
	verdictReused
	verdictFull
	verdictWithdrawn
)

// maxWithdrawn bounds the notes in one shard, at some 100 bytes each. An intent
// beyond it that is committed late leaves its key with an unknown outcome.
const maxWithdrawn = 1000

// withdrawnFor is how long the nonce of a withdrawn intent is noted. A forwarded
// intent is committed within the commit timeout of its arrival or not at all, so
// this leaves most of a minute for its way.
const withdrawnFor = time.Minute

// maxPending bounds the calls in progress in one shard. At some 400 bytes each
// they leave room in a head of 1 MB for the finished ones.
const maxPending = 1000

// begin applies a begin operation to the head, which must be a clone, given the
// sealed entry of the key when the head has none. It reports whether the head
// was changed.
func (h *head) begin(op *beginOp, sealed *entry, now time.Time) (v verdict, found *entry, changed bool) {
	if _, ok := h.withdrawn[op.nonce]; ok {
		return verdictWithdrawn, nil, false
	}
	e := h.entries[op.key]
	if e == nil {
		e = sealed
	}
	switch {
	case e == nil:
	case e.Nonce == op.nonce && e.Outcome == nil:
		// The intent is committed: an earlier write took effect although its
		// answer was lost, or another daemon wrote it.
		return verdictGranted, e, false
	case e.Nonce == op.nonce:
		return verdictRecorded, e, false
	case e.Digest != op.digest:
		return verdictReused, e, false
	case e.Outcome == nil:
		return verdictWait, e, false
	case e.Outcome.Ran != RanNotRun:
		return verdictRecorded, e, false
	}
	if h.pending >= maxPending {
		return verdictFull, nil, false
	}
	e = &entry{Key: op.key, Digest: op.digest, Nonce: op.nonce, By: op.by, AtMs: now.UnixMilli()}
	h.set(e)
	return verdictGranted, e, true
}

// finish applies an outcome to the head, which must be a clone. It reports
// whether the head must be written: also when the intent is not found, as the
// head may be out of date, which a write at its version tells.
func (h *head) finish(op *finishOp, sealed *entry, now time.Time) bool {
	e := h.entries[op.key]
	if e == nil {
		e = sealed
	}
	switch {
	case e == nil || e.Nonce != op.nonce:
		if op.elsewhere && len(h.withdrawn) < maxWithdrawn {
			h.withdrawn[op.nonce] = now.Add(withdrawnFor).UnixMilli()
		}
		return true
	case e.Outcome != nil && e.Outcome.Ran != RanUnknown:
		return false
	}
	h.set(e.ended(op.outcome, now))
	return true
}

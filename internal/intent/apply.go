package intent

import "time"

// verdict is the result of applying a begin operation to a head.
type verdict int

const (
	// verdictGranted: the head contains the intent, without an outcome.
	verdictGranted verdict = iota
	// verdictRecorded: the outcome of a call with the key is recorded.
	verdictRecorded
	// verdictWait: another dispatch with the key is in progress.
	verdictWait
	// verdictReused: the key is recorded with another request digest.
	verdictReused
	// verdictFull: the shard has maxPending calls in progress.
	verdictFull
	// verdictWithdrawn: the intent was withdrawn before.
	verdictWithdrawn
)

// maxWithdrawn bounds the withdrawn nonces stored in one shard, at about 100
// bytes each. Beyond this limit, a withdrawn intent that is committed late
// leaves its key with an unknown outcome.
const maxWithdrawn = 1000

// withdrawnRetention is how long the nonce of a withdrawn intent is stored. A
// forwarded intent is committed within the commit timeout after its arrival or
// not at all, so this allows for most of a minute in transit.
const withdrawnRetention = time.Minute

// maxPending bounds the calls in progress in one shard. At about 400 bytes
// each, they leave room for finished entries in a head of 1 MiB.
const maxPending = 1000

// applyBegin applies a begin operation to the head, which must be a clone.
// sealed is the entry of the key from a segment, used when the head has none.
// changed reports whether the head was changed.
func (h *head) applyBegin(op *beginOp, sealed *entry, now time.Time) (v verdict, existing *entry, changed bool) {
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
		// The intent is already committed: an earlier write took effect
		// although its response was lost, or another daemon wrote it.
		return verdictGranted, e, false
	case e.Nonce == op.nonce:
		return verdictRecorded, e, false
	case e.Digest != op.digest:
		return verdictReused, e, false
	case e.Outcome == nil:
		return verdictWait, e, false
	case e.Outcome.Execution != ExecutionNotRun:
		return verdictRecorded, e, false
	}
	if h.pending >= maxPending {
		return verdictFull, nil, false
	}
	e = &entry{Key: op.key, Digest: op.digest, Nonce: op.nonce, Requester: op.requester, BegunMs: now.UnixMilli()}
	h.set(e)
	return verdictGranted, e, true
}

// applyFinish applies an outcome to the head, which must be a clone. It reports
// whether the head must be written. That is also the case when the intent is
// not found: the head may be out of date, which a conditional write at its
// version detects.
func (h *head) applyFinish(op *finishOp, sealed *entry, now time.Time) bool {
	e := h.entries[op.key]
	if e == nil {
		e = sealed
	}
	switch {
	case e == nil || e.Nonce != op.nonce:
		if op.mayBeCommittedRemotely && len(h.withdrawn) < maxWithdrawn {
			h.withdrawn[op.nonce] = now.Add(withdrawnRetention).UnixMilli()
		}
		return true
	case e.Outcome != nil && e.Outcome.Execution != ExecutionUnknown:
		return false
	}
	h.set(e.withOutcome(op.outcome, now))
	return true
}

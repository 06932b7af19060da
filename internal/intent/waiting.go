package intent

import (
	"context"
	"net/http"
	"time"
)

// knownTimeout bounds the call that asks another daemon whether a dispatch is
// in progress.
const knownTimeout = time.Second

// requeueUnblocked moves waiting operations back to the queue when the head
// shows that their key is no longer in progress. Abandoned operations are
// dismissed.
func (w *writer) requeueUnblocked() {
	if len(w.waiting) == 0 || w.head == nil {
		return
	}
	var unblocked []*beginOp
	waiting := w.waiting[:0]
	for _, op := range w.waiting {
		e := w.head.entries[op.key]
		switch {
		case op.isAbandoned():
			w.dismiss(op)
		case e != nil && e.Outcome == nil && e.Nonce != op.nonce:
			waiting = append(waiting, op)
		default:
			op.setWaiting(false)
			unblocked = append(unblocked, op)
		}
	}
	w.waiting = waiting
	if len(unblocked) > 0 {
		w.mu.Lock()
		w.begins = append(w.begins, unblocked...)
		w.mu.Unlock()
	}
}

// recheckWaiting reads the head again if the last read is older than
// Options.WaitPollInterval, because another daemon may have written an outcome
// since. It settles the operations that wait for a dispatcher that is gone.
func (w *writer) recheckWaiting() {
	if len(w.waiting) == 0 {
		clear(w.unreachableSince)
		return
	}
	if w.head == nil || time.Since(w.readAt) >= w.log.options.WaitPollInterval {
		if w.read() != nil {
			return
		}
	}
	w.requeueUnblocked()
	inProgressByNonce := map[string]bool{}
	waiting := w.waiting[:0]
	for _, op := range w.waiting {
		e := w.head.entries[op.key]
		inProgress, checked := inProgressByNonce[e.Nonce]
		if !checked {
			inProgress = w.inProgress(e)
			inProgressByNonce[e.Nonce] = inProgress
		}
		if inProgress {
			waiting = append(waiting, op)
			continue
		}
		op.settle(result{grant: Grant{Outcome: Outcome{Execution: ExecutionUnknown}}})
		w.dismiss(op)
	}
	w.waiting = waiting
}

// inProgress reports whether an outcome may still be recorded for an entry's
// dispatch.
func (w *writer) inProgress(e *entry) bool {
	if e.Requester.Log == w.log.logID {
		return w.log.openDispatches.hasEntry(e.Nonce)
	}
	alive := false
	for _, d := range w.log.options.Table.AllDaemons() {
		alive = alive || d.Name == e.Requester.Daemon && d.Address == e.Requester.Address
	}
	if !alive || w.log.options.Peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(w.log.ctx, knownTimeout)
	defer cancel()
	var response knownResponse
	err := w.log.options.Peers.Call(ctx, http.MethodPost, e.Requester.Address, "/peer/v1/intents/known", knownRequest{Log: e.Requester.Log, Nonce: e.Nonce}, &response)
	if err == nil {
		delete(w.unreachableSince, e.Requester.Address)
		return response.Known
	}
	since, ok := w.unreachableSince[e.Requester.Address]
	if !ok {
		w.unreachableSince[e.Requester.Address] = time.Now()
		return true
	}
	return time.Since(since) < w.log.options.UnreachableTimeout
}

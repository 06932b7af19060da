package intent

import (
	"context"
	"net/http"
	"time"
)

// knownTimeout bounds the question whether a dispatch is in progress.
const knownTimeout = time.Second

// wakeWaiting settles the operations whose key is no longer in progress, as far
// as the head tells.
func (w *writer) wakeWaiting() {
	if len(w.waiting) == 0 || w.head == nil {
		return
	}
	var again []*beginOp
	kept := w.waiting[:0]
	for _, op := range w.waiting {
		e := w.head.entries[op.key]
		switch {
		case op.isAbandoned():
			w.dismiss(op)
		case e != nil && e.Outcome == nil && e.Nonce != op.nonce:
			kept = append(kept, op)
		default:
			op.setWaits(false)
			again = append(again, op)
		}
	}
	w.waiting = kept
	if len(again) > 0 {
		w.mu.Lock()
		w.begins = append(w.begins, again...)
		w.mu.Unlock()
	}
}

// recheckWaiting reads the head when it is old, as another daemon may have
// written the outcome, and settles the operations whose dispatcher is gone.
func (w *writer) recheckWaiting() {
	if len(w.waiting) == 0 {
		clear(w.unreachable)
		return
	}
	if w.head == nil || time.Since(w.readAt) >= w.log.options.WaitPoll {
		if w.read() != nil {
			return
		}
	}
	w.wakeWaiting()
	states := map[string]bool{}
	kept := w.waiting[:0]
	for _, op := range w.waiting {
		e := w.head.entries[op.key]
		inProgress, asked := states[e.Nonce]
		if !asked {
			inProgress = w.inProgress(e)
			states[e.Nonce] = inProgress
		}
		if inProgress {
			kept = append(kept, op)
			continue
		}
		op.settle(result{grant: Grant{Outcome: Outcome{Ran: RanUnknown}}})
		w.dismiss(op)
	}
	w.waiting = kept
}

// inProgress reports whether the dispatch of an entry may still get an outcome.
func (w *writer) inProgress(e *entry) bool {
	if e.By.Log == w.log.id {
		return w.log.open.known(e.Nonce)
	}
	alive := false
	for _, d := range w.log.options.Table.AllDaemons() {
		alive = alive || d.Name == e.By.Daemon && d.Address == e.By.Address
	}
	if !alive || w.log.options.Peers == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(w.log.ctx, knownTimeout)
	defer cancel()
	var answer knownAnswer
	err := w.log.options.Peers.Call(ctx, http.MethodPost, e.By.Address, "/peer/v1/intents/known", knownRequest{Log: e.By.Log, Nonce: e.Nonce}, &answer)
	if err == nil {
		delete(w.unreachable, e.By.Address)
		return answer.Known
	}
	since, ok := w.unreachable[e.By.Address]
	if !ok {
		w.unreachable[e.By.Address] = time.Now()
		return true
	}
	return time.Since(since) < w.log.options.UnreachableAfter
}

package intent

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/kataras/iris/v12"

	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/peer"
	"rattantide/internal/problem"
)

const (
	// maxBeginBytes and maxFinishBytes bound the request bodies of forwarded
	// operations.
	maxBeginBytes  = 64 << 10
	maxFinishBytes = 16 << 20
	// forwardSlack is how long after the commit deadline the response of the
	// preferred daemon is awaited.
	forwardSlack = 500 * time.Millisecond
)

// RegisterHandlers registers the handlers for forwarded operations on a party
// that is mounted at /peer/v1 and checks the peer token.
func (l *Log) RegisterHandlers(party iris.Party) {
	peer.Handle(party, http.MethodPost, "/intents/begin", maxBeginBytes, l.serveBegin)
	peer.Handle(party, http.MethodPost, "/intents/finish", maxFinishBytes, l.serveFinish)
	peer.Handle(party, http.MethodPost, "/intents/known", maxBeginBytes, func(_ context.Context, in knownRequest) (knownResponse, error) {
		return knownResponse{Known: in.Log == l.logID && l.openDispatches.hasEntry(in.Nonce)}, nil
	})
}

// forwardBegin sends the operation to the preferred daemon. decided is false
// when its result is not known.
func (l *Log) forwardBegin(ctx context.Context, to membership.Daemon, op *beginOp) (r result, decided bool) {
	for {
		request := beginRequest{
			Key: op.key, Digest: op.digest, Nonce: op.nonce, Requester: op.requester,
			// Half of the time is reserved for a local commit after a failure.
			CommitWithinMs: max(1, time.Until(op.deadline).Milliseconds()/2),
		}
		callCtx, cancel := context.WithTimeout(ctx, time.Duration(request.CommitWithinMs)*time.Millisecond+forwardSlack)
		var response beginResponse
		err := l.options.Peers.Call(callCtx, http.MethodPost, to.Address, "/peer/v1/intents/begin", request, &response)
		cancel()
		switch {
		case err == nil && response.Reused:
			return result{err: errors.Annotatef(ErrKeyReused, "route %s", op.key.Route)}, true
		case err == nil && response.InProgress:
			// The commit timeout starts again once the other call has ended.
			op.deadline = time.Now().Add(l.options.CommitTimeout)
			if ctx.Err() != nil {
				return result{grant: Grant{Outcome: Outcome{Execution: ExecutionUnknown}}}, true
			}
			continue
		case err == nil:
			l.stats.Forwarded.Add(1)
			return result{grant: response.Grant}, true
		}
		return result{}, false
	}
}

func (l *Log) serveBegin(ctx context.Context, in beginRequest) (beginResponse, error) {
	within := min(time.Duration(in.CommitWithinMs)*time.Millisecond, l.options.CommitTimeout)
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	op := &beginOp{
		key: in.Key, digest: in.Digest, nonce: in.Nonce, requester: in.Requester,
		deadline: time.Now().Add(within), done: make(chan struct{}), forwarded: true,
	}
	if !l.writers[l.shard(in.Key)].enqueue(op) {
		return beginResponse{}, unavailable(errors.New("too many intents are waiting"))
	}
	select {
	case <-op.done:
	case <-ctx.Done():
	}
	waiting := op.isWaiting()
	r, settled := op.abandon()
	switch {
	case !settled && waiting:
		return beginResponse{InProgress: true}, nil
	case !settled:
		return beginResponse{}, unavailable(ctx.Err())
	case errors.Is(r.err, ErrKeyReused):
		return beginResponse{Reused: true}, nil
	case r.err != nil:
		return beginResponse{}, unavailable(r.err)
	}
	return beginResponse{Grant: r.grant}, nil
}

func (l *Log) serveFinish(ctx context.Context, in finishRequest) (struct{}, error) {
	if len(in.Outcomes) == 0 {
		return struct{}{}, nil
	}
	done := make(chan struct{})
	var remaining atomic.Int64
	remaining.Store(int64(len(in.Outcomes)))
	onCommit := func() {
		if remaining.Add(-1) == 0 {
			close(done)
		}
	}
	for _, o := range in.Outcomes {
		op := &finishOp{key: o.Key, nonce: o.Nonce, outcome: o.Outcome, onCommit: onCommit}
		l.writers[l.shard(o.Key)].enqueue(nil, op)
	}
	select {
	case <-done:
		return struct{}{}, nil
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	return struct{}{}, unavailable(errors.Annotate(objectclient.ErrUnavailable, "outcomes are not written yet"))
}

func unavailable(err error) error {
	return problem.New(http.StatusServiceUnavailable, problem.CodeInternal, err.Error())
}

package intent

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// maxSendBatch bounds the outcomes in one call to the preferred daemon.
const maxSendBatch = 200

// sender sends the outcomes of one shard to its preferred daemon. It is safe
// for concurrent use.
type sender struct {
	log   *Log
	shard int

	mu      sync.Mutex
	queue   []*finishOp
	sending int
	running bool
}

func (s *sender) enqueue(op *finishOp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, op)
	if !s.running {
		s.running = true
		s.log.tasks.Go(s.run)
	}
}

func (s *sender) queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) + s.sending
}

func (s *sender) dequeue() []*finishOp {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.queue[:min(len(s.queue), maxSendBatch)]
	s.queue = s.queue[len(batch):]
	s.sending = len(batch)
	if len(batch) == 0 {
		s.running = false
	}
	return batch
}

func (s *sender) run() {
	for {
		// Outcomes that are queued within the delay are sent together.
		timer := time.NewTimer(s.log.options.FinishDelay / 2)
		select {
		case <-timer.C:
		case <-s.log.ctx.Done():
			timer.Stop()
		}
		batch := s.dequeue()
		if len(batch) == 0 {
			return
		}
		s.send(batch)
	}
}

// send sends a batch to the preferred daemon, or queues it at the local writer
// when that fails. Recording an outcome twice has no effect.
func (s *sender) send(batch []*finishOp) {
	preferred, isOther := s.log.preferred(s.shard)
	if isOther {
		request := finishRequest{}
		for _, op := range batch {
			request.Outcomes = append(request.Outcomes, recordedOutcome{Key: op.key, Nonce: op.nonce, Outcome: op.outcome})
		}
		ctx, cancel := context.WithTimeout(s.log.ctx, 2*s.log.options.CommitTimeout)
		defer cancel()
		if s.log.options.Peers.Call(ctx, http.MethodPost, preferred.Address, "/peer/v1/intents/finish", request, nil) == nil {
			s.log.stats.Forwarded.Add(int64(len(batch)))
			for _, op := range batch {
				op.onCommit()
			}
			return
		}
		s.log.stats.Fallbacks.Add(int64(len(batch)))
	}
	s.log.writers[s.shard].enqueue(nil, batch...)
}

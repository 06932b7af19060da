package intent

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// maxSend bounds the outcomes in one call to the preferred daemon.
const maxSend = 200

// sender passes the outcomes of one shard to its preferred daemon.
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

func (s *sender) take() []*finishOp {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.queue[:min(len(s.queue), maxSend)]
	s.queue = s.queue[len(batch):]
	s.sending = len(batch)
	if len(batch) == 0 {
		s.running = false
	}
	return batch
}

func (s *sender) run() {
	for {
		// Outcomes that come within the delay travel together.
		timer := time.NewTimer(s.log.options.FinishDelay / 2)
		select {
		case <-timer.C:
		case <-s.log.ctx.Done():
			timer.Stop()
		}
		batch := s.take()
		if len(batch) == 0 {
			return
		}
		s.send(batch)
	}
}

// send hands a batch to the preferred daemon, or to this daemon's writer when
// that fails. Recording an outcome twice is harmless.
func (s *sender) send(batch []*finishOp) {
	preferred, other := s.log.preferred(s.shard)
	if other {
		request := finishRequest{}
		for _, op := range batch {
			request.Outcomes = append(request.Outcomes, recordedOutcome{Key: op.key, Nonce: op.nonce, Outcome: op.outcome})
		}
		ctx, cancel := context.WithTimeout(s.log.ctx, 2*s.log.options.CommitTimeout)
		defer cancel()
		if s.log.options.Peers.Call(ctx, http.MethodPost, preferred.Address, "/peer/v1/intents/finish", request, nil) == nil {
			s.log.stats.Forwarded.Add(int64(len(batch)))
			for _, op := range batch {
				op.done()
			}
			return
		}
		s.log.stats.FellBack.Add(int64(len(batch)))
	}
	s.log.writers[s.shard].enqueue(nil, batch...)
}

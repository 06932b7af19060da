package handoff

import (
	"sync"
	"time"

	"rattantide/internal/journal"
	"rattantide/internal/problem"
)

// backups holds the copies that other daemons keep here. It grants epochs. All
// methods are safe for concurrent use.
type backups struct {
	journal *journal.Journal
	retain  time.Duration

	mu      sync.Mutex
	entries map[string]*backup
}

// backup is the copy of one record. Without a copy it is a pointer.
type backup struct {
	copied *journal.Copy
	size   int64
	epoch  int64
	holder Address
	// until is when the entry may be forgotten.
	until time.Time
}

func (b *backup) where() Where {
	w := Where{Role: RolePointer, Epoch: b.epoch, Holder: b.holder}
	if b.copied != nil {
		w.Role, w.Workspace = RoleBackup, b.copied.Request.Workspace
	}
	return w
}

// store takes over a copy unless a higher epoch is known. An update for which
// there is no copy is refused, so that its sender sends the whole record.
func (s *backups) store(r *copyRequest, now time.Time) (copyAnswer, error) {
	if r.Copy == nil || r.Copy.Request.ID == "" {
		return copyAnswer{}, problem.New(400, problem.CodeBadRequest, "the copy has no record")
	}
	id := r.Copy.Request.ID
	until := now.Add(time.Duration(max(r.Copy.RemainingMs, 0))*time.Millisecond + s.retain)
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.entries[id]
	if held != nil && (held.epoch > r.Copy.Epoch || held.epoch == r.Copy.Epoch && held.holder != r.Holder) {
		return copyAnswer{Where: held.where()}, nil
	}
	if r.Update {
		if held == nil || held.copied == nil {
			return copyAnswer{}, nil
		}
		// The request of a stored copy is never changed in place: a claim may
		// be sending it.
		next := *r.Copy
		next.Request = held.copied.Request
		held.copied, held.epoch, held.holder, held.until = &next, r.Copy.Epoch, r.Holder, until
		return copyAnswer{Accepted: true, Where: held.where()}, nil
	}
	size := int64(len(r.Copy.Request.Body) + len(r.Copy.Frames) + 512)
	if !s.journal.Reserve(size) {
		return copyAnswer{}, problem.New(503, problem.CodeOverloaded, "the memory for copies is in use")
	}
	if held != nil {
		s.journal.Release(held.size)
	}
	next := &backup{copied: r.Copy, size: size, epoch: r.Copy.Epoch, holder: r.Holder, until: until}
	s.entries[id] = next
	return copyAnswer{Accepted: true, Where: next.where()}, nil
}

// claim grants an epoch that is higher than the one known. former is the
// holder before, to be told of the change.
func (s *backups) claim(r *claimRequest) (answer claimAnswer, former Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.entries[r.ID]
	if held == nil || held.copied == nil {
		if held != nil {
			answer.Where = held.where()
		}
		return answer, former
	}
	if held.epoch == r.Epoch && held.holder == r.Holder {
		// The answer to the first such claim was lost.
		answer.Granted = true
	} else if held.epoch < r.Epoch {
		former = held.holder
		held.epoch, held.holder = r.Epoch, r.Holder
		answer.Granted = true
	}
	answer.Where = held.where()
	if answer.Granted && r.Want {
		answer.Copy = held.copied
	}
	return answer, former
}

// release drops a copy and keeps a pointer to the holder.
func (s *backups) release(r *releaseRequest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.entries[r.ID]
	if held == nil || held.epoch > r.Epoch || held.epoch == r.Epoch && held.holder != r.Holder {
		return
	}
	s.journal.Release(held.size)
	s.entries[r.ID] = &backup{epoch: r.Epoch, holder: r.Holder, until: now.Add(s.retain)}
}

func (s *backups) where(id string) Where {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.entries[id]; held != nil {
		return held.where()
	}
	return Where{}
}

// copies returns the copies that are kept here, as they would be stored
// elsewhere.
func (s *backups) copies() []*copyRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*copyRequest, 0, len(s.entries))
	for _, held := range s.entries {
		if held.copied != nil {
			copied := *held.copied
			copied.Epoch = held.epoch
			out = append(out, &copyRequest{Copy: &copied, Holder: held.holder})
		}
	}
	return out
}

// expire forgets entries whose time is over.
func (s *backups) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, held := range s.entries {
		if held.until.Before(now) {
			s.journal.Release(held.size)
			delete(s.entries, id)
		}
	}
}

// orphans returns the copies whose holder is not among the known daemons.
func (s *backups) orphans(known func(Address) bool) map[string]Where {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[string]Where{}
	for id, held := range s.entries {
		if held.copied != nil && !known(held.holder) {
			found[id] = held.where()
		}
	}
	return found
}

package handoff

import (
	"sync"
	"time"

	"rattantide/internal/journal"
	"rattantide/internal/problem"
)

// backups holds the record copies that this daemon stores for other daemons,
// and grants epochs for these records. It is safe for concurrent use.
type backups struct {
	journal          *journal.Journal
	pointerRetention time.Duration

	mu      sync.Mutex
	entries map[string]*backupEntry
}

// backupEntry is the copy of one record. Without a copy it is a pointer to the
// record's holder.
type backupEntry struct {
	copied *journal.Copy
	size   int64
	epoch  int64
	holder Address
	// expiresAt is the time from which the entry may be removed.
	expiresAt time.Time
}

func (b *backupEntry) placement() Placement {
	p := Placement{Role: RolePointer, Epoch: b.epoch, Holder: b.holder}
	if b.copied != nil {
		p.Role, p.Workspace = RoleBackup, b.copied.Request.Workspace
	}
	return p
}

// store stores a copy unless a higher epoch is known. An update to a copy that
// does not exist is refused, so that the sender sends the whole record.
func (s *backups) store(r *copyRequest, now time.Time) (copyResponse, error) {
	if r.Copy == nil || r.Copy.Request.ID == "" {
		return copyResponse{}, problem.New(400, problem.CodeBadRequest, "the copy has no record")
	}
	id := r.Copy.Request.ID
	until := now.Add(time.Duration(max(r.Copy.RemainingMs, 0))*time.Millisecond + s.pointerRetention)
	s.mu.Lock()
	defer s.mu.Unlock()
	existing := s.entries[id]
	if existing != nil && (existing.epoch > r.Copy.Epoch || existing.epoch == r.Copy.Epoch && existing.holder != r.Holder) {
		return copyResponse{Placement: existing.placement()}, nil
	}
	if r.Update {
		if existing == nil || existing.copied == nil {
			return copyResponse{}, nil
		}
		// The request of a stored copy is never modified in place, because a
		// claim may be sending it.
		next := *r.Copy
		next.Request = existing.copied.Request
		existing.copied, existing.epoch, existing.holder, existing.expiresAt = &next, r.Copy.Epoch, r.Holder, until
		return copyResponse{Accepted: true, Placement: existing.placement()}, nil
	}
	size := int64(len(r.Copy.Request.Body) + len(r.Copy.Frames) + 512)
	if !s.journal.Reserve(size) {
		return copyResponse{}, problem.New(503, problem.CodeOverloaded, "the memory for copies is in use")
	}
	if existing != nil {
		s.journal.Release(existing.size)
	}
	next := &backupEntry{copied: r.Copy, size: size, epoch: r.Copy.Epoch, holder: r.Holder, expiresAt: until}
	s.entries[id] = next
	return copyResponse{Accepted: true, Placement: next.placement()}, nil
}

// claim grants an epoch that is higher than the known one. If the epoch
// increases, previous is the holder before the claim, which must be notified if
// it was replaced.
func (s *backups) claim(r *claimRequest) (response claimResponse, previous Address) {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing := s.entries[r.ID]
	if existing == nil || existing.copied == nil {
		if existing != nil {
			response.Placement = existing.placement()
		}
		return response, previous
	}
	if existing.epoch == r.Epoch && existing.holder == r.Holder {
		// The response to an earlier identical claim was lost.
		response.Granted = true
	} else if existing.epoch < r.Epoch {
		previous = existing.holder
		existing.epoch, existing.holder = r.Epoch, r.Holder
		response.Granted = true
	}
	response.Placement = existing.placement()
	if response.Granted && r.IncludeCopy {
		response.Copy = existing.copied
	}
	return response, previous
}

// release replaces a copy by a pointer to the holder, unless a higher epoch or
// another holder at the same epoch is known.
func (s *backups) release(r *releaseRequest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing := s.entries[r.ID]
	if existing == nil || existing.epoch > r.Epoch || existing.epoch == r.Epoch && existing.holder != r.Holder {
		return
	}
	s.journal.Release(existing.size)
	s.entries[r.ID] = &backupEntry{epoch: r.Epoch, holder: r.Holder, expiresAt: now.Add(s.pointerRetention)}
}

func (s *backups) placement(id string) Placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing := s.entries[id]; existing != nil {
		return existing.placement()
	}
	return Placement{}
}

// copyRequests returns the stored copies as requests that would store them at
// another daemon.
func (s *backups) copyRequests() []*copyRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*copyRequest, 0, len(s.entries))
	for _, existing := range s.entries {
		if existing.copied != nil {
			copied := *existing.copied
			copied.Epoch = existing.epoch
			out = append(out, &copyRequest{Copy: &copied, Holder: existing.holder})
		}
	}
	return out
}

// expire removes entries that have expired.
func (s *backups) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, existing := range s.entries {
		if existing.expiresAt.Before(now) {
			s.journal.Release(existing.size)
			delete(s.entries, id)
		}
	}
}

// orphans returns the placements of the copies whose holder is not a known
// daemon, by record identifier.
func (s *backups) orphans(known func(Address) bool) map[string]Placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	orphans := map[string]Placement{}
	for id, existing := range s.entries {
		if existing.copied != nil && !known(existing.holder) {
			orphans[id] = existing.placement()
		}
	}
	return orphans
}

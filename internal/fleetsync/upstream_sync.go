package fleetsync

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
	"rattantide/internal/peering"
)

const (
	// watchWait is how long one watch lasts. A change that a watch misses, and a
	// connection that went silent, is noticed after it.
	watchWait = time.Second
	// returnTime is how long the entries that vanished while the store was away
	// are kept after its return: upstreams that live are back by then.
	returnTime = 2200 * time.Millisecond
	// feedSilence is the time without news from other daemons after which a daemon
	// reads the store itself.
	feedSilence = 1500 * time.Millisecond
	// feedPoll is how often a daemon looks whether it must.
	feedPoll = 200 * time.Millisecond
	// maxLog bounds the changes that are kept for other daemons, and maxFeed those
	// of one answer, which must fit into a datagram.
	maxLog  = 1024
	maxFeed = 60
	// awayAfter is the time without an answer after which entries may have
	// vanished although their upstreams live.
	awayAfter = 2500 * time.Millisecond
)

// WatchStore is what the upstream list needs of the store.
type WatchStore interface {
	List(ctx context.Context, kind string) (*objectclient.ObjectList, error)
	// WatchOnce waits for changes after a revision and returns the revision to
	// go on from.
	WatchOnce(ctx context.Context, kind string, since int64, wait time.Duration, fn func(objectclient.Event) error) (int64, error)
}

// UpstreamOptions configures an UpstreamSync. All fields are required.
type UpstreamOptions struct {
	Store WatchStore
	// Kind is the kind of the upstreams' entries.
	Kind string
	// Decode reads an entry; an error means that it names no upstream.
	Decode func(*objectclient.Object) (membership.Instance, error)
	// Direct reports whether this daemon reads the store itself. The others take
	// changes from those that do, and read the store only when they hear nothing.
	Direct func() bool
	// Apply takes over the whole list after each change.
	Apply  func([]membership.Instance)
	Now    func() time.Time
	Logger *log.Logger
	Scope  tally.Scope
}

// UpstreamSync keeps the list of upstreams. It is safe for concurrent use.
type UpstreamSync struct {
	opts UpstreamOptions

	mu      sync.Mutex
	entries map[string]membership.Instance
	// revision is the store's revision up to which entries is complete.
	revision int64
	listed   bool
	// heardAt is when the list was last known to be complete.
	heardAt time.Time
	// fedAt is when it was so by the word of other daemons or by a list; it
	// outdates unless others tell of changes.
	fedAt time.Time
	// log holds the latest changes, and logFrom the revision after which it is
	// complete.
	log     []peering.Change
	logFrom int64
	// absent holds, for entries that vanished while the store was away, until
	// when they are kept.
	absent map[string]time.Time

	failing bool
}

// NewUpstreamSync returns an UpstreamSync.
func NewUpstreamSync(opts UpstreamOptions) *UpstreamSync {
	return &UpstreamSync{opts: opts, entries: map[string]membership.Instance{}, absent: map[string]time.Time{}}
}

// Run keeps the list until ctx ends.
func (u *UpstreamSync) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := u.step(ctx)
		u.expire()
		if wait <= 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
	return nil
}

// step reads the store if this daemon must, and returns the time until the next
// step.
func (u *UpstreamSync) step(ctx context.Context) time.Duration {
	if !u.opts.Direct() && u.fed() {
		return feedPoll
	}
	err := u.read(ctx)
	switch {
	case err == nil:
		if u.failing {
			u.failing = false
			u.opts.Logger.Info("list of upstreams can be read again")
		}
		return 0
	case errors.Is(err, objectclient.ErrCompacted):
		u.forgetPosition()
		u.opts.Scope.Counter("upstream_relists").Inc(1)
		return 0
	}
	if !u.fed() {
		// Entries may lapse until the store is back, which only a list shows.
		u.forgetPosition()
	}
	u.opts.Scope.Counter("upstream_list_failed").Inc(1)
	if !u.failing && ctx.Err() == nil {
		u.opts.Logger.Warn("list of upstreams could not be read", "error", err)
	}
	u.failing = true
	return retryEvery
}

// fed reports whether other daemons keep the list up to date.
func (u *UpstreamSync) fed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.listed && u.opts.Now().Sub(u.fedAt) < feedSilence
}

func (u *UpstreamSync) forgetPosition() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.listed = false
}

// read lists once, or waits for the next changes.
func (u *UpstreamSync) read(ctx context.Context) error {
	sentAt := u.opts.Now()
	u.mu.Lock()
	listed, revision := u.listed, u.revision
	u.mu.Unlock()
	if !listed {
		list, err := u.opts.Store.List(ctx, u.opts.Kind)
		if err != nil {
			return err
		}
		u.takeList(list, sentAt)
		return nil
	}
	var changes []peering.Change
	next, err := u.opts.Store.WatchOnce(ctx, u.opts.Kind, revision, watchWait, func(e objectclient.Event) error {
		if e.Object == nil {
			return nil
		}
		change := peering.Change{Revision: e.Object.Version, Name: e.Object.Name}
		if e.Type == objectclient.EventPut {
			change.Value = e.Object.Value
		}
		changes = append(changes, change)
		return nil
	})
	if err != nil {
		return err
	}
	for i := range changes {
		if changes[i].Revision <= revision {
			// A deletion may carry the revision of the object that it removes.
			changes[i].Revision = next
		}
	}
	u.takeChanges(revision, changes, next, u.opts.Now())
	return nil
}

// Position returns the revision up to which the list is complete, and how long ago
// that was confirmed; ok is false before the first list.
func (u *UpstreamSync) Position() (revision int64, age time.Duration, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.revision, u.opts.Now().Sub(u.heardAt), u.listed
}

// takeList replaces the entries by those of a list.
func (u *UpstreamSync) takeList(list *objectclient.ObjectList, sentAt time.Time) {
	found := make(map[string]membership.Instance, len(list.Items))
	for i := range list.Items {
		if instance, ok := u.decode(&list.Items[i]); ok {
			found[instance.Name] = instance
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.opts.Now()
	wasAway := !u.heardAt.IsZero() && now.Sub(u.heardAt) > awayAfter
	for name, before := range u.entries {
		if _, ok := found[name]; ok {
			delete(u.absent, name)
			continue
		}
		if _, kept := u.absent[name]; !kept && wasAway && before.State == membership.StateLive {
			u.absent[name] = now.Add(returnTime)
		}
		if until, kept := u.absent[name]; kept && now.Before(until) {
			found[name] = before
		}
	}
	u.entries, u.revision, u.listed, u.heardAt, u.fedAt = found, list.Revision, true, sentAt, sentAt
	u.log, u.logFrom = nil, list.Revision
	u.publish()
}

// takeChanges applies changes that are complete from one revision to another.
func (u *UpstreamSync) takeChanges(from int64, changes []peering.Change, to int64, confirmedAt time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.listed || from > u.revision {
		return
	}
	changed := false
	for i := range changes {
		c := &changes[i]
		if c.Revision <= u.revision {
			continue
		}
		changed = u.apply(c) || changed
		u.log = append(u.log, *c)
	}
	if over := len(u.log) - maxLog; over > 0 {
		u.logFrom = u.log[over-1].Revision
		u.log = append([]peering.Change(nil), u.log[over:]...)
	}
	u.revision = max(u.revision, to)
	if confirmedAt.After(u.heardAt) {
		u.heardAt = confirmedAt
	}
	if changed {
		u.publish()
	}
}

func (u *UpstreamSync) decode(o *objectclient.Object) (membership.Instance, bool) {
	instance, err := u.opts.Decode(o)
	if err != nil {
		u.opts.Scope.Counter("upstream_bad_entries").Inc(1)
		u.opts.Logger.Warn("entry names no upstream", "entry", o.Name, "revision", o.Version, "error", err)
		return instance, false
	}
	return instance, true
}

// apply takes over a change and reports whether it changed the list. The lock is
// held.
func (u *UpstreamSync) apply(c *peering.Change) bool {
	before, known := u.entries[c.Name]
	delete(u.absent, c.Name)
	if len(c.Value) == 0 {
		delete(u.entries, c.Name)
		if known {
			u.opts.Logger.Info("upstream is gone", "upstream", c.Name, "revision", c.Revision)
		}
		return known
	}
	instance, ok := u.decode(&objectclient.Object{Name: c.Name, Version: c.Revision, Value: c.Value})
	if !ok {
		delete(u.entries, c.Name)
		return known
	}
	u.entries[c.Name] = instance
	if instance != before {
		u.opts.Logger.Info("upstream changed", "upstream", c.Name, "pool", instance.Pool, "domain", instance.Domain,
			"state", instance.State, "version", instance.Version, "revision", c.Revision)
	}
	return instance != before
}

// expire removes the entries that did not come back.
func (u *UpstreamSync) expire() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.opts.Now()
	changed := false
	for name, until := range u.absent {
		if now.Before(until) {
			continue
		}
		delete(u.absent, name)
		delete(u.entries, name)
		changed = true
		u.opts.Logger.Info("upstream did not come back after the outage", "upstream", name)
	}
	if changed {
		u.publish()
	}
}

// publish hands out the list. The lock is held.
func (u *UpstreamSync) publish() {
	out := make([]membership.Instance, 0, len(u.entries))
	for _, instance := range u.entries {
		out = append(out, instance)
	}
	u.opts.Apply(out)
}

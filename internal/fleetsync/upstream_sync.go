package fleetsync

import (
	"context"
	"encoding/json"
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
	// watchDuration is how long one watch lasts. It bounds the time until a change
	// that a watch missed, or a connection that stopped responding, is detected.
	watchDuration = time.Second
	// watchPause is the time between a watch that returned changes and the next one, so
	// that changes in quick succession are read together.
	watchPause = 100 * time.Millisecond
	// watcherCount is the number of readers that watch the store all the time. If one
	// of them loses the connection, the other still receives each change at once.
	watcherCount = 2
	// absentRetention is how long entries that disappeared during an outage of the
	// store are retained after it: live upstreams have registered again by then.
	absentRetention = 2200 * time.Millisecond
	// feedTimeout is the time without a complete feed from another daemon after
	// which a daemon reads the store itself.
	feedTimeout = 1500 * time.Millisecond
	// feedCheckInterval is how often a daemon checks whether that time has passed.
	feedCheckInterval = 200 * time.Millisecond
	// maxLogChanges bounds the changes that are retained for other daemons, and
	// maxFeedChanges and maxFeedBytes those of one feed, which must fit into a datagram.
	maxLogChanges  = 1024
	maxFeedChanges = 60
	maxFeedBytes   = 16 << 10
	// outageThreshold is the time without a confirmation of the list after which
	// entries may have disappeared from the store although their upstreams are
	// live.
	outageThreshold = 2500 * time.Millisecond
)

// WatchStore is the subset of the store's methods that UpstreamSync uses.
type WatchStore interface {
	List(ctx context.Context, kind string) (*objectclient.ObjectList, error)
	// WatchOnce calls fn with the changes after a revision, waiting for at most
	// wait, and returns the revision from which to continue.
	WatchOnce(ctx context.Context, kind string, since objectclient.Revision, wait time.Duration, fn func(objectclient.Event) error) (objectclient.Revision, error)
}

// UpstreamOptions configures an UpstreamSync. All fields are required.
type UpstreamOptions struct {
	Store WatchStore
	// Kind is the kind of the upstreams' entries.
	Kind string
	// Decode decodes an entry. It returns an error if the entry is not a valid
	// upstream.
	Decode func(*objectclient.Object) (membership.Instance, error)
	// ReaderRank returns this daemon's position among the readers, or NotReader. The
	// first watcherCount readers watch the store. The other daemons receive the changes
	// from them, and read the store only if they receive no complete feed for
	// feedTimeout.
	ReaderRank func() int
	// Apply is called with the complete list, in no particular order, after each
	// change. It must not call methods of the UpstreamSync, whose lock is held.
	Apply func([]membership.Instance)
	// Now is the boot clock, which also advances while the machine is suspended.
	Now    func() time.Time
	Logger *log.Logger
	Scope  tally.Scope
}

// UpstreamSync keeps the list of upstreams up to date. It is safe for concurrent
// use.
type UpstreamSync struct {
	opts UpstreamOptions

	mu      sync.Mutex
	entries map[string]membership.Instance
	// revision is the store revision up to which entries is complete. isComplete
	// is unset until the store has been listed, and when it must be listed again.
	revision   objectclient.Revision
	isComplete bool
	// confirmedAt is when the list was last known to be complete.
	confirmedAt time.Time
	// feedConfirmedAt is the same according to feeds of other daemons and to lists
	// of the store, but not to watches, so that its age shows whether feeds arrive.
	feedConfirmedAt time.Time
	// changeLog holds the latest changes, and changeLogStart the revision after
	// which it is complete.
	changeLog      []peering.Change
	changeLogStart objectclient.Revision
	// retainedUntil holds, by name, the time until which entries that disappeared
	// during an outage of the store are retained.
	retainedUntil map[string]time.Time
	// departed holds the upstreams that are gone, whose entries a restored store may have
	// again.
	departed departures

	status readStatus
}

// NewUpstreamSync returns an UpstreamSync that does nothing until Run.
func NewUpstreamSync(opts UpstreamOptions) *UpstreamSync {
	return &UpstreamSync{
		opts: opts, entries: map[string]membership.Instance{}, retainedUntil: map[string]time.Time{}, departed: newDepartures(),
		status: readStatus{part: "the list of upstreams", logger: opts.Logger},
	}
}

// Run keeps the list up to date until ctx ends. It returns nil.
func (u *UpstreamSync) Run(ctx context.Context) error {
	return runSteps(ctx, func(ctx context.Context) time.Duration {
		wait := u.step(ctx)
		u.removeExpired()
		return wait
	})
}

// step reads the store if necessary and returns the time until the next step.
func (u *UpstreamSync) step(ctx context.Context) time.Duration {
	if !u.isWatcher() && u.isFeedFresh() {
		return feedCheckInterval
	}
	revision, _, _ := u.Position()
	err := u.readStore(ctx)
	switch {
	case err == nil:
		u.status.recordSuccess()
		if next, _, _ := u.Position(); next != revision {
			return watchPause
		}
		return 0
	case errors.Is(err, objectclient.ErrCompacted):
		u.requireList()
		u.opts.Scope.Counter("upstream_relists").Inc(1)
		return 0
	}
	if !u.isFeedFresh() {
		// Entries may expire before the store is available again. Only a new list
		// shows that.
		u.requireList()
	}
	u.opts.Scope.Counter("upstream_list_failed").Inc(1)
	u.status.recordFailure(ctx, err)
	return retryInterval
}

// isWatcher reports whether this daemon watches the store all the time.
func (u *UpstreamSync) isWatcher() bool {
	rank := u.opts.ReaderRank()
	return rank != NotReader && rank < watcherCount
}

// isFeedFresh reports whether a feed or a list confirmed within feedTimeout that the
// entries are complete.
func (u *UpstreamSync) isFeedFresh() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.isComplete && u.opts.Now().Sub(u.feedConfirmedAt) < feedTimeout
}

// requireList makes the next read of the store list all entries.
func (u *UpstreamSync) requireList() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.isComplete = false
}

// readStore lists the entries if necessary, else waits for the next changes.
func (u *UpstreamSync) readStore(ctx context.Context) error {
	sentAt := u.opts.Now()
	u.mu.Lock()
	isComplete, revision := u.isComplete, u.revision
	u.mu.Unlock()
	if !isComplete {
		list, err := u.opts.Store.List(ctx, u.opts.Kind)
		if err != nil {
			return err
		}
		u.applyList(list, sentAt)
		return nil
	}
	var changes []peering.Change
	next, err := u.opts.Store.WatchOnce(ctx, u.opts.Kind, revision, watchDuration, func(e objectclient.Event) error {
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
			// The event of a deletion may contain the revision of the deleted object
			// rather than that of the deletion.
			changes[i].Revision = next
		}
	}
	u.applyChanges(revision, changes, next, u.opts.Now())
	return nil
}

// Position returns the revision up to which the list is complete and the time
// since that was confirmed. ok is false if the store has not been listed yet or
// must be listed again.
func (u *UpstreamSync) Position() (revision objectclient.Revision, age time.Duration, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.revision, u.opts.Now().Sub(u.confirmedAt), u.isComplete
}

// applyChanges applies the complete changes between two revisions of the store.
// They are ignored if they leave a gap after the current revision.
func (u *UpstreamSync) applyChanges(from objectclient.Revision, changes []peering.Change, to objectclient.Revision, confirmedAt time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.isComplete || from > u.revision {
		return
	}
	changed := false
	for i := range changes {
		c := &changes[i]
		if c.Revision <= u.revision {
			continue
		}
		changed = u.applyChange(c) || changed
		u.changeLog = append(u.changeLog, *c)
	}
	if excess := len(u.changeLog) - maxLogChanges; excess > 0 {
		u.changeLogStart = u.changeLog[excess-1].Revision
		u.changeLog = append([]peering.Change(nil), u.changeLog[excess:]...)
	}
	u.revision = max(u.revision, to)
	if confirmedAt.After(u.confirmedAt) {
		u.confirmedAt = confirmedAt
	}
	if changed {
		u.publish()
	}
}

// invalidValue stands for the value of an entry that is not that of an upstream.
var invalidValue = json.RawMessage("null")

// applyChange applies a change and reports whether the list changed. u.mu must be
// held.
func (u *UpstreamSync) applyChange(c *peering.Change) bool {
	before, known := u.entries[c.Name]
	delete(u.retainedUntil, c.Name)
	if len(c.Value) == 0 {
		delete(u.entries, c.Name)
		u.departed.add(c.Name, u.opts.Now())
		if known {
			u.opts.Logger.Info("upstream is gone", "upstream", c.Name, "revision", c.Revision)
		}
		return known
	}
	instance, ok := u.decode(&objectclient.Object{Name: c.Name, Version: c.Revision, Value: c.Value})
	if !ok {
		// Other daemons are told only that the entry is not that of an upstream: what it
		// holds may be too large or nested too deeply for a message.
		c.Value = invalidValue
		delete(u.entries, c.Name)
		return known
	}
	u.entries[c.Name] = instance
	u.departed.remove(c.Name)
	if instance != before {
		u.opts.Logger.Info("upstream changed", "upstream", c.Name, "pool", instance.Pool, "domain", instance.Domain,
			"state", instance.State, "version", instance.Version, "revision", c.Revision)
	}
	return instance != before
}

// removeExpired removes the entries whose retention after an outage has ended
// without their upstreams registering again.
func (u *UpstreamSync) removeExpired() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.opts.Now()
	changed := false
	for name, until := range u.retainedUntil {
		if now.Before(until) {
			continue
		}
		delete(u.retainedUntil, name)
		delete(u.entries, name)
		u.departed.add(name, now)
		changed = true
		u.opts.Logger.Info("upstream removed; it did not register again after the store outage", "upstream", name)
	}
	if changed {
		u.publish()
	}
}

// publish calls Apply with the complete list. u.mu must be held.
func (u *UpstreamSync) publish() {
	out := make([]membership.Instance, 0, len(u.entries))
	for _, instance := range u.entries {
		out = append(out, instance)
	}
	u.opts.Apply(out)
}

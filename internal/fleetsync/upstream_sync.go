package fleetsync

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
)

const (
	// watchWait is how long one watch lasts. A change that a watch misses, and a
	// connection that went silent, is noticed after it.
	watchWait = time.Second
	// returnTime is how long the entries that vanished while the store was away
	// are kept after its return: upstreams that live are back by then.
	returnTime = 2200 * time.Millisecond
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
	// Apply takes over the whole list after each change.
	Apply  func([]membership.Instance)
	Now    func() time.Time
	Logger *log.Logger
	Scope  tally.Scope
}

// UpstreamSync keeps the list of upstreams.
type UpstreamSync struct {
	opts     UpstreamOptions
	entries  map[string]membership.Instance
	revision int64
	listed   bool
	// heardAt is when the store last answered.
	heardAt time.Time
	// absent holds, for entries that vanished while the store was away, until
	// when they are kept.
	absent  map[string]time.Time
	failing bool
}

// NewUpstreamSync returns an UpstreamSync.
func NewUpstreamSync(opts UpstreamOptions) *UpstreamSync {
	return &UpstreamSync{opts: opts, entries: map[string]membership.Instance{}, absent: map[string]time.Time{}}
}

// Run keeps the list until ctx ends.
func (u *UpstreamSync) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := u.step(ctx)
		u.expire()
		switch {
		case err == nil:
			u.heardAt = u.opts.Now()
			if u.failing {
				u.failing = false
				u.opts.Logger.Info("list of upstreams can be read again", "upstreams", len(u.entries))
			}
			continue
		case errors.Is(err, objectclient.ErrCompacted):
			u.listed = false
			u.opts.Scope.Counter("upstream_relists").Inc(1)
			continue
		}
		// A watch that broke off may have missed changes.
		u.listed = false
		u.opts.Scope.Counter("upstream_list_failed").Inc(1)
		if !u.failing && ctx.Err() == nil {
			u.opts.Logger.Warn("list of upstreams could not be read", "error", err)
		}
		u.failing = true
		select {
		case <-ctx.Done():
		case <-time.After(retryEvery):
		}
	}
	return nil
}

// step lists once, or waits for the next changes.
func (u *UpstreamSync) step(ctx context.Context) error {
	if !u.listed {
		return u.list(ctx)
	}
	changed := false
	next, err := u.opts.Store.WatchOnce(ctx, u.opts.Kind, u.revision, watchWait, func(e objectclient.Event) error {
		if e.Object != nil {
			changed = u.event(e) || changed
		}
		return nil
	})
	if changed {
		u.publish()
	}
	if err != nil {
		return err
	}
	u.revision = next
	return nil
}

func (u *UpstreamSync) list(ctx context.Context) error {
	list, err := u.opts.Store.List(ctx, u.opts.Kind)
	if err != nil {
		return err
	}
	found := make(map[string]membership.Instance, len(list.Items))
	for i := range list.Items {
		if instance, ok := u.decode(&list.Items[i]); ok {
			found[instance.Name] = instance
		}
	}
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
	u.entries, u.revision, u.listed = found, list.Revision, true
	u.publish()
	return nil
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

// event takes over a change and reports whether it changed the list.
func (u *UpstreamSync) event(e objectclient.Event) bool {
	name := e.Object.Name
	before, known := u.entries[name]
	delete(u.absent, name)
	if e.Type == objectclient.EventDelete {
		delete(u.entries, name)
		if known {
			u.opts.Logger.Info("upstream is gone", "upstream", name, "revision", e.Revision)
		}
		return known
	}
	instance, ok := u.decode(e.Object)
	if !ok {
		delete(u.entries, name)
		return known
	}
	u.entries[name] = instance
	if instance != before {
		u.opts.Logger.Info("upstream changed", "upstream", name, "pool", instance.Pool, "domain", instance.Domain,
			"state", instance.State, "version", instance.Version, "revision", e.Revision)
	}
	return instance != before
}

// expire removes the entries that did not come back.
func (u *UpstreamSync) expire() {
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

func (u *UpstreamSync) publish() {
	out := make([]membership.Instance, 0, len(u.entries))
	for _, instance := range u.entries {
		out = append(out, instance)
	}
	u.opts.Apply(out)
}

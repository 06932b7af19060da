package configsync

import (
	"context"
	"sync"
	"time"

	"rattantide/internal/api"
	"rattantide/internal/objectclient"
)

// tickInterval is how often the role and the membership are checked if nothing
// changes.
const tickInterval = time.Second

// Syncer keeps a Cache and a Table up to date. Every daemon polls the relays of its
// region. A relay also watches the object API, and polls the instance list, the
// reclaim notices and a relay of every other region. It is safe for concurrent use.
type Syncer struct {
	options  Options
	kinds    []string
	progress progress
	suspects suspects
	// replanRequests makes Run compute the plan again.
	replanRequests chan struct{}
	// stopped is closed when Run returns; it ends the polls that wait for changes.
	stopped chan struct{}
}

// NewSyncer returns a Syncer that does nothing until Run.
func NewSyncer(options Options) *Syncer {
	options.setDefaults()
	s := &Syncer{
		options:        options,
		progress:       progress{ready: make(chan struct{})},
		suspects:       suspects{addresses: map[string]bool{}},
		replanRequests: make(chan struct{}, 1),
		stopped:        make(chan struct{}),
	}
	for _, kind := range api.Kinds {
		s.kinds = append(s.kinds, string(kind))
	}
	return s
}

// Ready returns a channel that is closed when a first configuration, which may be
// empty, is in effect.
func (s *Syncer) Ready() <-chan struct{} { return s.progress.ready }

// Run keeps the configuration and the membership up to date until ctx ends. It
// returns nil and must be called once.
func (s *Syncer) Run(ctx context.Context) error {
	defer close(s.stopped)
	s.start(ctx)

	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { s.announceLive(ctx) })
	running := map[string]context.CancelFunc{}
	launch := func(key string, task func(context.Context)) {
		if _, ok := running[key]; ok {
			return
		}
		taskCtx, cancel := context.WithCancel(ctx)
		running[key] = cancel
		tasks.Go(func() { task(taskCtx) })
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var lastRelayAt time.Time
	for {
		changed := s.options.Table.Changed()
		s.options.Table.Tick()
		p := s.plan()
		if p.isRelay {
			lastRelayAt = time.Now()
		}
		wanted := map[string]bool{}
		if p.isRelay || time.Since(lastRelayAt) < s.options.RelayRetention && !lastRelayAt.IsZero() {
			for key, task := range s.relayTasks() {
				wanted[key] = true
				launch(key, task)
			}
		}
		for address := range p.pollTargets {
			key := "poll " + address
			wanted[key] = true
			launch(key, func(ctx context.Context) { s.followPeer(ctx, address) })
		}
		for key, cancel := range running {
			if !wanted[key] {
				cancel()
				delete(running, key)
			}
		}
		s.options.Scope.Gauge("config_relay").Update(boolGauge(p.isRelay))
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-s.replanRequests:
		case <-ticker.C:
		}
	}
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// applyFeed applies a peer's feed and reports whether an object changed.
func (s *Syncer) applyFeed(feed *Feed) (changed bool) {
	if feed.Membership != nil {
		s.options.Table.Import(*feed.Membership)
	}
	complete, _, _ := s.progress.get()
	if feed.Full && feed.Revision >= complete {
		s.progress.raiseDeletionFloor(feed.Revision)
		changed = s.options.Cache.Replace(api.Kinds, feed.Revision, feed.Objects) > 0
	} else {
		changed = s.options.Cache.Apply(feed.Objects...) > 0
	}
	if feed.Synced {
		s.setComplete(feed.Revision)
	}
	return changed
}

// setComplete records that all changes up to a revision have been applied.
func (s *Syncer) setComplete(revision objectclient.Revision) {
	s.options.Cache.setComplete(revision)
	s.progress.raiseComplete(revision)
}

// applyEvent applies an event of a watch. A deletion becomes a tombstone at the
// event's revision.
func (s *Syncer) applyEvent(event objectclient.Event) {
	if event.Object != nil {
		o := *event.Object
		if event.Type == objectclient.EventDelete {
			o.Value, o.Version = nil, event.Revision
		}
		s.options.Cache.Apply(o)
	}
	s.setComplete(event.Revision)
}

// requestReplan makes Run compute the plan again without waiting for the next tick.
func (s *Syncer) requestReplan() {
	select {
	case s.replanRequests <- struct{}{}:
	default:
	}
}

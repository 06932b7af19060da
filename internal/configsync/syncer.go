package configsync

import (
	"context"
	"sync"
	"time"

	"rattantide/internal/api"
	"rattantide/internal/objectclient"
)

// tickInterval is how often the role and the membership are looked at even
// without a change.
const tickInterval = time.Second

// Syncer keeps a Cache and a Table up to date. Every daemon polls the relays of
// its region; a relay also watches the object API and polls the instance list
// and the reclaim notices. It is safe for concurrent use.
type Syncer struct {
	options  Options
	kinds    []string
	progress progress
	suspects suspects
	// replan asks for a look at the role.
	replan chan struct{}
	// stopped ends the answers that are held back.
	stopped chan struct{}
}

// NewSyncer returns a Syncer that does nothing until Run.
func NewSyncer(options Options) *Syncer {
	options.setDefaults()
	s := &Syncer{
		options:  options,
		progress: progress{ready: make(chan struct{})},
		suspects: suspects{addresses: map[string]bool{}},
		replan:   make(chan struct{}, 1),
		stopped:  make(chan struct{}),
	}
	for _, kind := range api.Kinds {
		s.kinds = append(s.kinds, string(kind))
	}
	return s
}

// Ready returns a channel that is closed when a first configuration is in
// effect. An empty one counts.
func (s *Syncer) Ready() <-chan struct{} { return s.progress.ready }

// Run keeps the configuration and the membership up to date until ctx ends. It
// must be called once.
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
	var relaySince time.Time
	for {
		changed := s.options.Table.Changed()
		s.options.Table.Tick()
		p := s.plan()
		if p.relay {
			relaySince = time.Now()
		}
		wanted := map[string]bool{}
		if p.relay || time.Since(relaySince) < s.options.RelayHold && !relaySince.IsZero() {
			for key, task := range s.relayTasks() {
				wanted[key] = true
				launch(key, task)
			}
		}
		for address := range p.targets {
			key := "poll " + address
			wanted[key] = true
			launch(key, func(ctx context.Context) { s.follow(ctx, address) })
		}
		for key, cancel := range running {
			if !wanted[key] {
				cancel()
				delete(running, key)
			}
		}
		s.options.Scope.Gauge("config_relay").Update(boolGauge(p.relay))
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-s.replan:
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

// applyFeed takes over what a peer sent and reports whether an object in it was
// new.
func (s *Syncer) applyFeed(feed *Feed) (news bool) {
	if feed.Membership != nil {
		s.options.Table.Import(*feed.Membership)
	}
	complete, _, _ := s.progress.get()
	if feed.Full && feed.Revision >= complete {
		s.progress.raiseFloor(feed.Revision)
		news = s.options.Cache.Replace(api.Kinds, feed.Revision, feed.Objects) > 0
	} else {
		news = s.options.Cache.Apply(feed.Objects...) > 0
	}
	if feed.Synced {
		s.completeTo(feed.Revision)
	}
	return news
}

func (s *Syncer) completeTo(revision int64) {
	s.options.Cache.completeTo(revision)
	s.progress.raiseComplete(revision)
}

func (s *Syncer) applyEvent(event objectclient.Event) {
	if event.Object != nil {
		o := *event.Object
		if event.Type == objectclient.EventDelete {
			o.Value, o.Version = nil, event.Revision
		}
		s.options.Cache.Apply(o)
	}
	s.completeTo(event.Revision)
}

func (s *Syncer) askReplan() {
	select {
	case s.replan <- struct{}{}:
	default:
	}
}

package configsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"rattantide/internal/api"
	"rattantide/internal/membership"
	"rattantide/internal/objectclient"
)

// noticeWait is how long the cloud API may delay its response until there are
// notices.
const noticeWait = 5 * time.Second

// platformTimeout bounds a call of the instance list, and the time by which a call
// for notices may exceed noticeWait.
const platformTimeout = 2 * time.Second

// relayTasks returns the tasks that only a relay runs, by name.
func (s *Syncer) relayTasks() map[string]func(context.Context) {
	tasks := map[string]func(context.Context){"watch": s.watch}
	if s.options.InstanceListAddress != "" {
		tasks["instances"] = s.pollInstances
	}
	if s.options.CloudAddress != "" {
		tasks["notices"] = s.pollNotices
	}
	return tasks
}

// watch applies the changes of the object API until ctx ends.
func (s *Syncer) watch(ctx context.Context) {
	s.options.Logger.Info("acting as configuration relay")
	defer s.options.Logger.Info("no longer acting as configuration relay")
	delay := retryDelay()
	for ctx.Err() == nil {
		err := s.watchOnce(ctx, delay.Reset)
		if ctx.Err() != nil {
			return
		}
		s.options.Scope.Counter("config_watch_ended").Inc(1)
		s.options.Logger.Warn("watch of the object API ended; restarting it", "error", err)
		sleep(ctx, delay.NextBackOff())
	}
}

// watchOnce lists the objects if necessary and watches the object API until the watch
// ends. It calls onProgress after each event and after a list that replaces a
// compacted history.
func (s *Syncer) watchOnce(ctx context.Context, onProgress func()) error {
	since, _, synced := s.progress.get()
	if !synced || since == 0 {
		if err := s.listAll(ctx); err != nil {
			return err
		}
		since, _, _ = s.progress.get()
	}
	err := s.options.Store.Watch(ctx, since, s.kinds, func(event objectclient.Event) error {
		s.applyEvent(event)
		onProgress()
		return nil
	})
	if errors.Is(err, objectclient.ErrCompacted) {
		if err := s.listAll(ctx); err != nil {
			return err
		}
		onProgress()
	}
	return err
}

// listAll lists the objects of every kind. A stored object that is missing from the
// list of its kind becomes a tombstone at the list's revision.
func (s *Syncer) listAll(ctx context.Context) error {
	lists := make([]*objectclient.ObjectList, len(api.Kinds))
	group, groupCtx := errgroup.WithContext(ctx)
	for i, kind := range api.Kinds {
		group.Go(func() error {
			list, err := s.options.Store.List(groupCtx, string(kind))
			lists[i] = list
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return errors.Trace(err)
	}
	complete := lists[0].Revision
	for i, kind := range api.Kinds {
		complete = min(complete, lists[i].Revision)
		s.progress.raiseDeletionFloor(lists[i].Revision)
		s.options.Cache.Replace([]api.Kind{kind}, lists[i].Revision, lists[i].Items)
	}
	s.setComplete(complete)
	s.progress.setSynced()
	return nil
}

// pollInstances polls the instance list until ctx ends.
func (s *Syncer) pollInstances(ctx context.Context) {
	for ctx.Err() == nil {
		size := s.pollInstancesOnce(ctx)
		budgetInterval := time.Duration(int64(size) * int64(time.Second) / s.options.ListBytesPerSecond)
		// The interval is randomized: relays of all regions forward the lists that they
		// read, so if they poll at different times, a list reaches all daemons long
		// before the interval ends.
		sleep(ctx, max(s.options.ListInterval, budgetInterval*time.Duration(75+rand.IntN(50))/100))
	}
}

// pollInstancesOnce reads and applies the instance list. It returns its size in
// bytes, or 0 after a failure.
func (s *Syncer) pollInstancesOnce(ctx context.Context) int {
	if s.options.InstanceListAddress == "" {
		return 0
	}
	var list membership.InstanceList
	size, err := s.getPlatform(ctx, platformTimeout, "http://"+s.options.InstanceListAddress+"/v1/instances", &list)
	if err != nil {
		if ctx.Err() == nil {
			s.options.Scope.Counter("instance_list_errors").Inc(1)
			s.options.Logger.Warn("reading the instance list failed; retaining the known instances", "error", err)
		}
		return 0
	}
	s.options.Table.ApplyList(list)
	return size
}

// pollNotices polls the cloud API for reclaim notices until ctx ends.
func (s *Syncer) pollNotices(ctx context.Context) {
	var since int64
	delay := retryDelay()
	for ctx.Err() == nil {
		var response noticeResponse
		url := fmt.Sprintf("http://%s/v1/notices?since=%d&waitMs=%d", s.options.CloudAddress, since, noticeWait.Milliseconds())
		started := time.Now()
		_, err := s.getPlatform(ctx, noticeWait+platformTimeout, url, &response)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.options.Scope.Counter("notice_errors").Inc(1)
			s.options.Logger.Warn("polling the cloud API for notices failed; retrying", "error", err)
			sleep(ctx, delay.NextBackOff())
			continue
		}
		delay.Reset()
		s.options.Table.ApplyNotices(response.Notices...)
		// The sequence number of the response is used even if it is lower, as the
		// numbering starts again when the cloud API is restarted.
		since = response.Seq
		if len(response.Notices) == 0 && time.Since(started) < noticeWait/2 {
			// The service does not delay its responses; avoid polling it in a tight loop.
			sleep(ctx, 500*time.Millisecond)
		}
	}
}

// retryDelay returns the backoff for failed calls.
func retryDelay() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 100 * time.Millisecond
	// A notice must reach all daemons within 3 s, so a service must be polled soon
	// after its outage ends.
	b.MaxInterval = time.Second
	return b
}

// sleep returns after d, or earlier if ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

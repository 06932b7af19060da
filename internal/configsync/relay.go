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

// noticeWait is how long the cloud API may hold back an answer without news.
const noticeWait = 5 * time.Second

// platformTimeout bounds a call of the instance list, and what a held call may
// last beyond its wait.
const platformTimeout = 2 * time.Second

func (s *Syncer) relayTasks() map[string]func(context.Context) {
	tasks := map[string]func(context.Context){"watch": s.watch}
	if s.options.InstanceList != "" {
		tasks["instances"] = s.pollInstances
	}
	if s.options.Cloud != "" {
		tasks["notices"] = s.pollNotices
	}
	return tasks
}

// watch follows the object API until ctx ends.
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
		s.options.Logger.Warn("watch of the object API ended; starting it again", "error", err)
		sleep(ctx, delay.NextBackOff())
	}
}

func (s *Syncer) watchOnce(ctx context.Context, progressed func()) error {
	since, _, synced := s.progress.get()
	if !synced || since == 0 {
		if err := s.listAll(ctx); err != nil {
			return err
		}
		since, _, _ = s.progress.get()
	}
	err := s.options.Store.Watch(ctx, since, s.kinds, func(event objectclient.Event) error {
		s.applyEvent(event)
		progressed()
		return nil
	})
	if errors.Is(err, objectclient.ErrCompacted) {
		if err := s.listAll(ctx); err != nil {
			return err
		}
		progressed()
	}
	return err
}

// listAll reads every kind. What is held but missing from a list becomes a
// tombstone at the list's revision.
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
		s.progress.raiseFloor(lists[i].Revision)
		s.options.Cache.Replace([]api.Kind{kind}, lists[i].Revision, lists[i].Items)
	}
	s.completeTo(complete)
	s.progress.setSynced()
	return nil
}

// pollInstances follows the instance list until ctx ends.
func (s *Syncer) pollInstances(ctx context.Context) {
	for ctx.Err() == nil {
		size := s.pollInstancesOnce(ctx)
		stretched := time.Duration(int64(size) * int64(time.Second) / s.options.ListBytesPerSecond)
		// Relays of all regions pass on what they read, so with different
		// phases each list is known everywhere long before the interval ends.
		sleep(ctx, max(s.options.ListInterval, stretched*time.Duration(75+rand.IntN(50))/100))
	}
}

func (s *Syncer) pollInstancesOnce(ctx context.Context) int {
	if s.options.InstanceList == "" {
		return 0
	}
	var list membership.InstanceList
	size, err := s.getPlatform(ctx, platformTimeout, "http://"+s.options.InstanceList+"/v1/instances", &list)
	if err != nil {
		if ctx.Err() == nil {
			s.options.Scope.Counter("instance_list_errors").Inc(1)
			s.options.Logger.Warn("instance list is unavailable; keeping what is known", "error", err)
		}
		return 0
	}
	s.options.Table.ApplyList(list)
	return size
}

// pollNotices follows the reclaim notices until ctx ends.
func (s *Syncer) pollNotices(ctx context.Context) {
	var since int64
	delay := retryDelay()
	for ctx.Err() == nil {
		var answer noticeAnswer
		url := fmt.Sprintf("http://%s/v1/notices?since=%d&waitMs=%d", s.options.Cloud, since, noticeWait.Milliseconds())
		started := time.Now()
		_, err := s.getPlatform(ctx, noticeWait+platformTimeout, url, &answer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.options.Scope.Counter("notice_errors").Inc(1)
			s.options.Logger.Warn("cloud API is unavailable; asking again", "error", err)
			sleep(ctx, delay.NextBackOff())
			continue
		}
		delay.Reset()
		s.options.Table.ApplyNotices(answer.Notices...)
		// The numbers start again when the cloud API was restarted.
		since = answer.Seq
		if len(answer.Notices) == 0 && time.Since(started) < noticeWait/2 {
			// The service does not hold answers back; do not poll it in a tight loop.
			sleep(ctx, 500*time.Millisecond)
		}
	}
}

func retryDelay() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 100 * time.Millisecond
	// A notice must be known everywhere within 3 s, so a service that returns
	// after an outage must be asked soon.
	b.MaxInterval = time.Second
	return b
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

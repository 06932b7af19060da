package configsync

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// repeatDelay is the time to the next poll after an answer without news.
const repeatDelay = 100 * time.Millisecond

// probeTimeout bounds a poll of a daemon that did not answer before.
const probeTimeout = time.Second

// follow polls one daemon until ctx ends.
func (s *Syncer) follow(ctx context.Context, address string) {
	defer s.suspects.set(address, false)
	delay := retryDelay()
	position := ""
	failed := false
	for ctx.Err() == nil {
		wait, timeout := s.options.Wait, s.options.Wait+s.options.PollSlack
		if failed {
			wait, timeout = 0, probeTimeout
		}
		feed, err := s.poll(ctx, address, position, wait, timeout)
		if ctx.Err() != nil {
			return
		}
		if failed = err != nil; failed {
			s.options.Scope.Counter("config_poll_errors").Inc(1)
			if s.suspects.set(address, true) {
				s.options.Logger.Warn("peer does not answer polls; using another one", "peer", address, "error", err)
				s.askReplan()
			}
			sleep(ctx, delay.NextBackOff())
			continue
		}
		delay.Reset()
		if s.suspects.set(address, false) {
			s.askReplan()
		}
		news := s.applyFeed(feed)
		if feed.Synced {
			s.progress.setSynced()
		}
		if feed.Membership != nil {
			position, news = feed.Membership.Position(), true
		}
		if !news && len(feed.Objects) > 0 {
			// The other relay was first, or this peer holds objects beyond its
			// revision and would send them again at once.
			sleep(ctx, repeatDelay)
		}
	}
}

func (s *Syncer) poll(ctx context.Context, address, position string, wait, timeout time.Duration) (*Feed, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	since, _, _ := s.progress.get()
	query := fmt.Sprintf("/peer/v1/config?since=%d&waitMs=%d&position=%s", since, wait.Milliseconds(), url.QueryEscape(position))
	feed := &Feed{}
	s.options.Scope.Counter("config_polls").Inc(1)
	if err := s.options.Peers.Call(ctx, http.MethodGet, address, query, nil, feed); err != nil {
		return nil, err
	}
	return feed, nil
}

// pollSnapshot takes over everything that a peer holds.
func (s *Syncer) pollSnapshot(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.PollSlack)
	defer cancel()
	feed := &Feed{}
	if err := s.options.Peers.Call(ctx, http.MethodGet, address, "/peer/v1/snapshot", nil, feed); err != nil {
		return err
	}
	s.applyFeed(feed)
	if !feed.Synced {
		return errNotSynced
	}
	return nil
}

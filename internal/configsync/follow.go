package configsync

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"
)

// repeatDelay is the time to the next poll after a response that contained objects
// but changed nothing.
const repeatDelay = 100 * time.Millisecond

// probeTimeout bounds a poll of a daemon whose previous poll failed.
const probeTimeout = time.Second

// followPeer polls one daemon until ctx ends.
func (s *Syncer) followPeer(ctx context.Context, address string) {
	defer s.suspects.setSuspect(address, false)
	delay := retryDelay()
	position := ""
	lastFailed := false
	for ctx.Err() == nil {
		wait, timeout := s.options.PollWait, s.options.PollWait+s.options.PollSlack
		if lastFailed {
			wait, timeout = 0, probeTimeout
		}
		feed, err := s.poll(ctx, address, position, wait, timeout)
		if ctx.Err() != nil {
			return
		}
		if lastFailed = err != nil; lastFailed {
			s.options.Scope.Counter("config_poll_errors").Inc(1)
			if s.suspects.setSuspect(address, true) {
				s.options.Logger.Warn("polling a peer failed; selecting another peer", "peer", address, "error", err)
				s.requestReplan()
			}
			sleep(ctx, delay.NextBackOff())
			continue
		}
		delay.Reset()
		if s.suspects.setSuspect(address, false) {
			s.requestReplan()
		}
		changed := s.applyFeed(feed)
		if feed.Synced {
			s.progress.setSynced()
		}
		if feed.Membership != nil {
			position, changed = feed.Membership.Position(), true
		}
		if !changed && len(feed.Objects) > 0 {
			// Another relay sent the objects first, or this peer has objects newer than
			// its revision and would send them again immediately.
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

// pollSnapshot applies the full state of a peer. It returns errNotSynced if the peer
// has no configuration in effect; the rest of its state is applied in any case.
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

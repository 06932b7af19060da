package configsync

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/membership"
)

// announceTimeout bounds one call that announces leaving.
const announceTimeout = time.Second

// AnnounceLeaving tells the relays of every region that this daemon is leaving.
// It returns once all of them answered or failed, with an error when no daemon
// took it although there are some.
func (s *Syncer) AnnounceLeaving(ctx context.Context) error {
	others := s.options.Table.Daemons()
	announcement := s.options.Table.Announcement(false)
	s.options.Table.Announce(announcement)
	if len(others) == 0 {
		return nil
	}
	addresses := s.relayAddresses(others)
	failure := s.announceToAll(ctx, addresses, announcement)
	if failure == nil {
		return nil
	}
	// No relay answered; any daemon passes the word on to those that poll it.
	for _, d := range others {
		if addresses[d.Address] {
			continue
		}
		if failure = s.announceTo(ctx, d.Address, announcement); failure == nil || ctx.Err() != nil {
			return errors.Trace(failure)
		}
	}
	return errors.Annotate(failure, "no daemon took the announcement")
}

// announceLive tells the relays of every region that this daemon has started. It
// ends a leaving announcement of an earlier process at the same address.
func (s *Syncer) announceLive(ctx context.Context) {
	others := s.options.Table.Daemons()
	if len(others) == 0 {
		return
	}
	err := s.announceToAll(ctx, s.relayAddresses(others), s.options.Table.Announcement(true))
	if err != nil && ctx.Err() == nil {
		s.options.Logger.Warn("start could not be announced; the instance list will tell", "error", err)
	}
}

func (s *Syncer) relayAddresses(others []membership.Daemon) map[string]bool {
	addresses := map[string]bool{}
	for _, region := range regions(others) {
		for _, d := range rankRelays(region, others, s.options.Relays) {
			addresses[d.Address] = true
		}
	}
	return addresses
}

// announceToAll returns nil once one daemon took the announcement and all have
// answered or failed.
func (s *Syncer) announceToAll(ctx context.Context, addresses map[string]bool, announcement membership.Announcement) error {
	var mu sync.Mutex
	var calls sync.WaitGroup
	taken := 0
	var failure error
	for address := range addresses {
		calls.Go(func() {
			err := s.announceTo(ctx, address, announcement)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failure = err
				return
			}
			taken++
		})
	}
	calls.Wait()
	if taken > 0 {
		return nil
	}
	return failure
}

func (s *Syncer) announceTo(ctx context.Context, address string, announcement membership.Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return s.options.Peers.Call(ctx, http.MethodPost, address, "/peer/v1/leaving", announcement, nil)
}

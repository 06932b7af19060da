package configsync

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"rattantide/internal/membership"
)

// announceTimeout bounds one call with an announcement.
const announceTimeout = time.Second

// AnnounceLeaving announces to the relays of every region that this daemon is
// leaving. It returns after all of them have responded or failed. If none accepted
// the announcement, it tries the other daemons one after the other, and returns an
// error if all of them fail.
func (s *Syncer) AnnounceLeaving(ctx context.Context) error {
	peers := s.options.Table.Daemons()
	announcement := s.options.Table.Announcement(false)
	s.options.Table.Announce(announcement)
	if len(peers) == 0 {
		return nil
	}
	addresses := s.relayAddresses(peers)
	lastErr := s.announceToAll(ctx, addresses, announcement)
	if lastErr == nil {
		return nil
	}
	// No relay accepted it; any daemon forwards it to the daemons that poll it.
	for _, d := range peers {
		if addresses[d.Address] {
			continue
		}
		if lastErr = s.announceTo(ctx, d.Address, announcement); lastErr == nil || ctx.Err() != nil {
			return errors.Trace(lastErr)
		}
	}
	return errors.Annotate(lastErr, "no daemon accepted the leaving announcement")
}

// announceLive announces to the relays of every region that this daemon has started.
// This cancels the leaving announcement of an earlier process at the same address.
func (s *Syncer) announceLive(ctx context.Context) {
	peers := s.options.Table.Daemons()
	if len(peers) == 0 {
		return
	}
	err := s.announceToAll(ctx, s.relayAddresses(peers), s.options.Table.Announcement(true))
	if err != nil && ctx.Err() == nil {
		s.options.Logger.Warn("announcing the start failed; peers must wait for the instance list", "error", err)
	}
}

// relayAddresses returns the addresses of the preferred relays of every region.
func (s *Syncer) relayAddresses(daemons []membership.Daemon) map[string]bool {
	addresses := map[string]bool{}
	for _, region := range regions(daemons) {
		for _, d := range rankRelays(region, daemons, s.options.RelaysPerRegion) {
			addresses[d.Address] = true
		}
	}
	return addresses
}

// announceToAll sends an announcement to all addresses concurrently and waits for
// all calls to end. It returns an error only if no daemon accepted it.
func (s *Syncer) announceToAll(ctx context.Context, addresses map[string]bool, announcement membership.Announcement) error {
	var mu sync.Mutex
	var calls sync.WaitGroup
	accepted := 0
	var lastErr error
	for address := range addresses {
		calls.Go(func() {
			err := s.announceTo(ctx, address, announcement)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				lastErr = err
				return
			}
			accepted++
		})
	}
	calls.Wait()
	if accepted > 0 {
		return nil
	}
	return lastErr
}

func (s *Syncer) announceTo(ctx context.Context, address string, announcement membership.Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return s.options.Peers.Call(ctx, http.MethodPost, address, "/peer/v1/leaving", announcement, nil)
}

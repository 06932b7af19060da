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
// It returns once all of them answered or failed, with an error when none of
// its own region took it and there are other daemons.
func (s *Syncer) AnnounceLeaving(ctx context.Context) error {
	self := s.options.Table.Self()
	others := s.options.Table.Daemons()
	announcement := membership.Announcement{
		Name: self.Name, Address: self.Address, Domain: self.Domain, Region: self.Region, Role: membership.RoleDaemon,
	}
	s.options.Table.Announce(announcement)
	if len(others) == 0 {
		return nil
	}
	addresses := map[string]bool{}
	for _, region := range regions(others) {
		for _, d := range rankRelays(region, others, s.options.Relays) {
			addresses[d.Address] = true
		}
	}
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

func (s *Syncer) announceTo(ctx context.Context, address string, announcement membership.Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return s.options.Peers.Call(ctx, http.MethodPost, address, "/peer/v1/leaving", announcement, nil)
}

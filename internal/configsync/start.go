package configsync

import (
	"context"
	"time"
)

// maxStartPeers is the number of peers that a start asks.
const maxStartPeers = 3

// start asks the object API, the instance list and up to three peers at once.
// It returns when the instance list has answered or failed and either the object
// API has answered, or all have answered or failed, or StartWait has passed since
// a peer answered.
func (s *Syncer) start(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan startAnswer, 2+maxStartPeers)
	pending := 0
	ask := func(source startSource, call func() bool) {
		pending++
		go func() { answers <- startAnswer{source, call()} }()
	}
	asked := map[string]bool{s.options.Table.Self().Address: true}
	askPeers := func(addresses []string) {
		for _, address := range addresses {
			// The own address is in asked.
			if !asked[address] && len(asked) <= maxStartPeers {
				asked[address] = true
				ask(startPeer, func() bool { return s.pollSnapshot(ctx, address) == nil })
			}
		}
	}
	ask(startStore, func() bool { return s.listAll(ctx) == nil })
	ask(startInstances, func() bool { return s.pollInstancesOnce(ctx) > 0 })
	askPeers(s.options.PeerAddresses)

	var limit <-chan time.Time
	var configured, current, listed bool
	for pending > 0 && (!listed || !current) {
		select {
		case a := <-answers:
			pending--
			switch {
			case a.source == startInstances:
				listed = true
				askPeers(s.knownPeers())
			case a.ok && a.source == startStore:
				configured, current = true, true
			case a.ok:
				configured = true
				if limit == nil {
					limit = time.After(s.options.StartWait)
				}
			}
		case <-limit:
			current = true
		case <-ctx.Done():
			return
		}
	}
	if configured {
		s.progress.setSynced()
	}
}

// knownPeers returns the addresses of the other daemons, relays first.
func (s *Syncer) knownPeers() []string {
	daemons := s.options.Table.Daemons()
	var addresses []string
	for _, d := range rankRelays(s.options.Region, daemons, s.options.Relays) {
		addresses = append(addresses, d.Address)
	}
	for _, d := range daemons {
		addresses = append(addresses, d.Address)
	}
	return addresses
}

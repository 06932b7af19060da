package configsync

import (
	"context"
	"time"
)

// maxStartPeers is the maximum number of peers that are polled at the start.
const maxStartPeers = 3

// start concurrently reads the object API, the instance list and the state of up to
// maxStartPeers peers. It returns after the call of the instance list has ended and
// either the read of the object API has succeeded, or all reads have ended, or
// StartWait has passed since the first peer sent a configuration.
func (s *Syncer) start(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan startResult, 2+maxStartPeers)
	pending := 0
	launch := func(source startSource, call func() bool) {
		pending++
		go func() { results <- startResult{source, call()} }()
	}
	// polled contains this daemon's address, so that it is not polled and the size
	// exceeds the number of polled peers by 1.
	polled := map[string]bool{s.options.Table.Self().Address: true}
	pollPeers := func(addresses []string) {
		for _, address := range addresses {
			if !polled[address] && len(polled) <= maxStartPeers {
				polled[address] = true
				launch(startPeer, func() bool { return s.pollSnapshot(ctx, address) == nil })
			}
		}
	}
	launch(startStore, func() bool { return s.listAll(ctx) == nil })
	launch(startInstances, func() bool { return s.pollInstancesOnce(ctx) > 0 })
	pollPeers(s.options.PeerAddresses)

	var timeout <-chan time.Time
	var hasConfig, configDone, instancesDone bool
	for pending > 0 && (!instancesDone || !configDone) {
		select {
		case result := <-results:
			pending--
			switch {
			case result.source == startInstances:
				instancesDone = true
				pollPeers(s.knownPeers())
			case result.ok && result.source == startStore:
				hasConfig, configDone = true, true
			case result.ok:
				hasConfig = true
				if timeout == nil {
					timeout = time.After(s.options.StartWait)
				}
			}
		case <-timeout:
			configDone = true
		case <-ctx.Done():
			return
		}
	}
	if hasConfig {
		s.progress.setSynced()
	}
}

// knownPeers returns the addresses of the other daemons, relays first. Addresses of
// relays occur twice.
func (s *Syncer) knownPeers() []string {
	daemons := s.options.Table.Daemons()
	var addresses []string
	for _, d := range rankRelays(s.options.Region, daemons, s.options.RelaysPerRegion) {
		addresses = append(addresses, d.Address)
	}
	for _, d := range daemons {
		addresses = append(addresses, d.Address)
	}
	return addresses
}

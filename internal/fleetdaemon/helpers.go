package fleetdaemon

import (
	"math/rand/v2"
	"slices"
	"sync"

	"rattantide/internal/gateway"
	"rattantide/internal/peering"
)

// helpers chooses the daemons that requests are forwarded to. It is safe for concurrent use.
type helpers struct {
	daemon *Daemon

	mu sync.Mutex
	// open counts the forwarded requests in progress by daemon.
	open map[string]int
}

// choose implements gateway.Forwarder.Choose: of two daemons at random that reach the
// upstreams of a service, the one with fewer requests of this daemon.
func (h *helpers) choose(service string, excluded []string) (gateway.Helper, func(), bool) {
	candidates := h.candidates(service, excluded)
	if len(candidates) == 0 {
		return gateway.Helper{}, nil, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	first, second := candidates[rand.IntN(len(candidates))], candidates[rand.IntN(len(candidates))]
	if h.open[second.Name] < h.open[first.Name] {
		first = second
	}
	h.open[first.Name]++
	done := func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.open[first.Name]--; h.open[first.Name] == 0 {
			delete(h.open, first.Name)
		}
	}
	return gateway.Helper{Name: first.Name, Address: joinPort(first.IP, h.daemon.settings.PeerPort)}, done, true
}

// candidates returns the daemons that reach the upstreams of a service: those of the own
// failure domain, unless more daemons need help there than can give it.
func (h *helpers) candidates(service string, excluded []string) []peering.Peer {
	var near, all []peering.Peer
	needy := 1
	for _, p := range h.daemon.peers.Peers() {
		if !p.Serves() || slices.Contains(excluded, p.Name) {
			continue
		}
		isNear := p.Domain == h.daemon.settings.Domain
		if slices.Contains(p.LostPools, service) {
			if isNear {
				needy++
			}
			continue
		}
		all = append(all, p)
		if isNear {
			near = append(near, p)
		}
	}
	if len(near) >= needy {
		return near
	}
	return all
}

package routing

import "rattantide/internal/membership"

// upstreamProcess identifies the process of an upstream and the version that it serves.
type upstreamProcess struct {
	address    string
	version    string
	generation int64
}

func newUpstreamProcess(u *membership.Upstream) upstreamProcess {
	return upstreamProcess{address: u.Address, version: u.Version, generation: u.Generation}
}

// matches reports whether u is the same process with the same version.
func (p *upstreamProcess) matches(u *membership.Upstream) bool {
	return p.generation == u.Generation && p.address == u.Address && p.version == u.Version
}

package routing

const (
	// minAffinityTokens is the length of a shared prefix from which requests with it are
	// directed to the same upstreams. Computing a shorter one again takes less time than the
	// differences between upstreams.
	minAffinityTokens = 1024
	// affinityShare and secondAffinityShare are the shares of a shared prefix that the first
	// and the second upstream preferred for it are expected to hold beyond what this daemon
	// knows: other daemons send there too. The second one gets what the first one has no room
	// for.
	affinityShare       = 0.7
	secondAffinityShare = 0.35
)

// applyAffinity raises the expected cached tokens of the two upstreams that all daemons
// prefer for the shared prefix of a request, by rendezvous hashing. A daemon of a large fleet
// rarely gets a prefix twice, so that its own record of what was sent where does not show
// which upstreams hold it.
func applyAffinity(req *Request, candidates []Candidate) {
	if req.SharedBlocks <= 0 || req.SharedBlocks > len(req.Blocks) || len(candidates) < 2 {
		return
	}
	shared := float64(req.PromptTokens) * float64(req.SharedBlocks) / float64(len(req.Blocks))
	if shared < minAffinityTokens {
		return
	}
	key := req.Blocks[req.SharedBlocks-1]
	preferred := newHeaviest()
	for i := range candidates {
		source := bitSource(key ^ candidates[i].NameHash)
		preferred.add(i, source.next())
	}
	candidates[preferred.first].expectCached(shared, affinityShare)
	candidates[preferred.second].expectCached(shared, secondAffinityShare)
}

// expectCached adds a share of the tokens of a prefix that are not known to be cached.
func (c *Candidate) expectCached(prefix, share float64) {
	c.CachedTokens += share * max(0, prefix-c.CachedTokens)
}

package routing

// prefixBlocks is how many leading blocks decide about the upstream, 1,024
// tokens of 16 each. Of 8, 16, 32, 64 and 128 blocks it was the best in the
// comparison as a whole: fewer send all requests with a common system prompt to
// one upstream.
const prefixBlocks = 64

// PrefixHash sends requests with the same leading blocks to the same upstream
// by rendezvous hashing, whatever its load. It is a baseline.
type PrefixHash struct{}

// Pick implements Policy.
func (PrefixHash) Pick(req *Request, candidates []Candidate) int {
	if len(req.Blocks) == 0 {
		return Random{}.Pick(req, candidates)
	}
	key := req.Blocks[min(len(req.Blocks), prefixBlocks)-1]
	best, bestWeight := -1, uint64(0)
	for i := range candidates {
		source := bitSource(key ^ candidates[i].NameHash)
		if weight := source.next(); best < 0 || weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}

package routing

// prefixHashBlocks is the number of leading blocks that determine the upstream:
// 1,024 tokens at 16 per block. Among 8, 16, 32, 64 and 128 blocks it gave the
// best results overall. Fewer blocks send all requests with a common system
// prompt to one upstream.
const prefixHashBlocks = 64

// PrefixHash picks the same upstream for all requests with the same leading
// blocks, by rendezvous hashing and regardless of load. It is a baseline for
// comparisons.
type PrefixHash struct{}

// Pick implements Policy.
func (PrefixHash) Pick(req *Request, candidates []Candidate) int {
	if len(req.Blocks) == 0 {
		return Random{}.Pick(req, candidates)
	}
	key := req.Blocks[min(len(req.Blocks), prefixHashBlocks)-1]
	best, bestWeight := -1, uint64(0)
	for i := range candidates {
		source := bitSource(key ^ candidates[i].NameHash)
		if weight := source.next(); best < 0 || weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}

package routing

import "time"

const (
	// scarceShare and fullShare are the shares of used slots at the other upstreams at which
	// short prompts begin to use the gathering ones too, and at which they use them like the
	// others.
	scarceShare, fullShare = 0.75, 0.95
	// staleAge is the age of the upstreams' state from which long prompts are placed like
	// others: most answers that ran then have ended. With state of that age, all
	// daemons move at once and fill the slots of the other upstreams in waves.
	staleAge = 3 * time.Second
	// roomWeight is the weight of a new value in the running mean of the room, which is
	// updated each borderInterval. The mean follows within about 2 s; with a weight of 1, it
	// would follow the random number of running requests.
	roomWeight = 0.25
)

// promptRoom estimates whether the upstreams of a pool have room for gathering long prompts.
type promptRoom struct {
	// share is the share of the delay by long prompts that short prompts count: 1 while the
	// upstreams at which long prompts do not gather have free slots, and 0 if they have too few.
	share float64
	// freshness falls from 1 to 0 as the mean age of the state rises to staleAge. It is 0 if no
	// upstream reports its slots. A silent upstream counts with twice staleAge.
	freshness float64
}

// update applies the state of the candidates. Upstreams whose slots are unknown are left out.
func (r *promptRoom) update(candidates []Candidate, limit uint64) {
	used, slots, age, n := 0.0, 0.0, time.Duration(0), 0
	for i := range candidates {
		c := &candidates[i]
		if c.Slots <= 0 {
			continue
		}
		n++
		age += min(max(c.StateAge, 0), 2*staleAge)
		if c.NameHash > limit {
			used += c.Running + c.Waiting
			slots += float64(c.Slots)
		}
	}
	r.freshness = 0
	if n > 0 {
		r.freshness = max(0, 1-float64(age)/float64(n)/float64(staleAge))
	}
	share := 0.0
	if slots > 0 {
		share = min(max((fullShare-used/slots)/(fullShare-scarceShare), 0), 1)
	}
	r.share += roomWeight * (share - r.share)
}

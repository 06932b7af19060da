package api

// PoolType tells what kind of upstreams a pool has.
type PoolType string

// The types of pools.
const (
	PoolChat    PoolType = "chat"
	PoolService PoolType = "service"
)

// Fencing tells whether a pool's upstreams check fencing tokens.
type Fencing string

// The ways in which upstreams treat fencing tokens.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Pool is a set of upstreams that serve the same versions. Its members are the
// instances that the instance list names with this pool.
type Pool struct {
	Type PoolType `json:"type"`
	// Version is the version in effect before any move.
	Version string `json:"version"`
	// Fencing says whether the upstreams refuse orders with an old fencing
	// token. Default "ignored", the safe assumption.
	Fencing Fencing `json:"fencing,omitempty"`
}

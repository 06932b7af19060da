package api

// PoolType is the type of a pool's upstreams.
type PoolType string

// The pool types: engines that serve chat completions, and plain services.
const (
	PoolChat    PoolType = "chat"
	PoolService PoolType = "service"
)

// Fencing specifies whether a pool's upstreams check fencing tokens.
type Fencing string

// The ways in which upstreams treat fencing tokens.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Pool is the spec of a set of upstreams that serve the same versions. Its
// members are the instances that the instance list assigns to this pool.
type Pool struct {
	Type PoolType `json:"type"`
	// Version is the version in effect as long as no version move changes it.
	Version string `json:"version"`
	// Fencing specifies whether the upstreams reject orders with an outdated
	// fencing token. Default "ignored", the safe assumption.
	Fencing Fencing `json:"fencing,omitempty"`
}

package admin

// PoolCount is the number of upstreams of a pool that a daemon uses, by state.
type PoolCount struct {
	Pool string `json:"pool"`
	MemberCounts
}

package admin

// PoolCount counts the upstreams of a pool that a daemon works with.
type PoolCount struct {
	Pool string `json:"pool"`
	Members
}
